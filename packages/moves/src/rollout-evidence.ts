/** Outcomes on one route by one side of a rollout. @public */
export interface SideCounts {
  answered: number;
  /** Failed answers, lost requests and timeouts. */
  bad: number;
  /** Sum of the times of answers and timeouts, in milliseconds. */
  totalMs: number;
}

/** Outcomes on one route by the new and the old version. @public */
export interface RouteCounts {
  readonly fresh: SideCounts;
  readonly old: SideCounts;
}

/** One answer, for the evidence of a rollout. @public */
export interface RolloutSample {
  readonly route: string;
  readonly isNew: boolean;
  readonly isBad: boolean;
  readonly ms: number;
}

/** Evidence of one node since the order, as it is sent to the judges. @public */
export interface EvidenceReport {
  /** Route, then answered, bad and total time of the new and the old side. */
  readonly rows: readonly EvidenceRow[];
  /** Requests sent to the new version, and to the service. */
  readonly sentFresh: number;
  readonly sent: number;
  /** Requests that the old version still runs. */
  readonly oldInFlight: number;
  /** Share of the new version that the node uses. */
  readonly share: number;
}

/** @public */
export type EvidenceRow = readonly [
  string,
  number,
  number,
  number,
  number,
  number,
  number,
];

/** Counts the outcomes of one rollout; sums of several nodes add up. @public */
export class RolloutEvidence {
  readonly #routes = new Map<string, RouteCounts>();
  sentFresh = 0;
  sent = 0;
  oldInFlight = 0;

  get routes(): ReadonlyMap<string, RouteCounts> {
    return this.#routes;
  }

  add({route, isNew: isFresh, isBad, ms}: RolloutSample): void {
    const counts = this.#of(route);
    const side = isFresh ? counts.fresh : counts.old;
    side.answered++;
    side.totalMs += ms;
    if (isBad) side.bad++;
  }

  /** Adds the report of another node. */
  merge(report: EvidenceReport): void {
    this.sentFresh += report.sentFresh;
    this.sent += report.sent;
    this.oldInFlight += report.oldInFlight;
    for (const [route, ...counts] of report.rows) {
      const {fresh, old} = this.#of(route);
      addTo(fresh, counts[0], counts[1], counts[2]);
      addTo(old, counts[3], counts[4], counts[5]);
    }
  }

  report(share: number): EvidenceReport {
    const rows = [...this.#routes].map(([route, {fresh, old}]): EvidenceRow => [
      route,
      fresh.answered,
      fresh.bad,
      Math.round(fresh.totalMs),
      old.answered,
      old.bad,
      Math.round(old.totalMs),
    ]);
    const {sentFresh, sent, oldInFlight} = this;
    return {rows, sentFresh, sent, oldInFlight, share};
  }

  #of(route: string): RouteCounts {
    const known = this.#routes.get(route);
    if (known) return known;
    const created = {fresh: empty(), old: empty()};
    this.#routes.set(route, created);
    return created;
  }
}

function empty(): SideCounts {
  return {answered: 0, bad: 0, totalMs: 0};
}

function addTo(
  side: SideCounts,
  answered: number,
  bad: number,
  totalMs: number,
): void {
  side.answered += answered;
  side.bad += bad;
  side.totalMs += totalMs;
}
