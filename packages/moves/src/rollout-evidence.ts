/** Outcomes on one route for one version of a rollout. @public */
export interface SideCounts {
  answered: number;
  /** Failed responses, lost requests and timeouts. */
  bad: number;
  /** Sum of the durations of responses and timeouts, in milliseconds. */
  totalMs: number;
}

/** Outcomes on one route for the new and the old version. @public */
export interface RouteCounts {
  readonly fresh: SideCounts;
  readonly old: SideCounts;
}

/** Outcome of one request, for the evidence of a rollout. @public */
export interface RolloutSample {
  readonly route: string;
  readonly isNew: boolean;
  readonly isBad: boolean;
  readonly ms: number;
}

/**
 * Evidence of one node since the rollout was ordered, as sent to the nodes that
 * decide.
 *
 * @public
 */
export interface EvidenceReport {
  /**
   * Route, then answered, bad and total milliseconds of the new and of the old
   * version.
   */
  readonly rows: readonly EvidenceRow[];
  /** Requests sent to the new version and to the whole service. */
  readonly sentFresh: number;
  readonly sent: number;
  /** Requests in flight in the old version. */
  readonly oldInFlight: number;
  /** Share of the new version that the node applies. */
  readonly share: number;
}

/** Counts of one route; see {@link EvidenceReport.rows}. @public */
export type EvidenceRow = readonly [
  string,
  number,
  number,
  number,
  number,
  number,
  number,
];

/**
 * Counts the outcomes of one rollout, and adds the reports of other nodes.
 *
 * @public
 */
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
