import {canaryShare, RolloutEvidence} from '@verbenabeam/moves';
import type {EvidenceReport, RolloutBounds} from '@verbenabeam/moves';
import {ROLLOUT_STATES} from './operator-documents.js';
import type {RolloutState} from './operator-documents.js';
import type {KnownOrder} from './operator-records.js';
import type {StageMessage} from './rollout-messages.js';

/** A stage or report that is older says nothing about now. */
const freshMs = 1_000;

interface GivenShare {
  readonly share: number;
  readonly at: number;
}

/** A node that may still use the old version. @internal */
export interface NotMoved {
  readonly nodeId: string;
  /** Age of its last report in ms; null if there is none. */
  readonly ageMs: number | null;
  readonly share: number;
  readonly oldInFlight: number;
}

interface NodeReport {
  readonly report: EvidenceReport;
  readonly at: number;
}

/** What one node knows of one rollout. @internal */
export class RolloutRun {
  readonly known: KnownOrder;
  /** Own evidence. */
  readonly evidence = new RolloutEvidence();
  state: RolloutState = ROLLOUT_STATES.running;
  /** State that the store shows for this order; null if none. */
  recorded: RolloutState | null = null;
  isWriting = false;
  /** Share in the last report of this node. */
  reportedShare = 0;
  readonly #bounds: RolloutBounds;
  readonly #given = new Map<string, GivenShare>();
  readonly #reports = new Map<string, NodeReport>();
  #startAt: number;

  constructor(known: KnownOrder, bounds: RolloutBounds, now: number) {
    this.known = known;
    this.#bounds = bounds;
    this.#startAt = now;
  }

  get target(): string {
    return this.known.order.targetVersion;
  }

  get isRunning(): boolean {
    return this.state === ROLLOUT_STATES.running;
  }

  elapsedMs(now: number): number {
    return now - this.#startAt;
  }

  /**
   * Share of the new version on this node. More than the first share needs the
   * word of every judge that speaks, so a node that hears none goes back to it.
   */
  share(now: number): number {
    let least: number | null = null;
    for (const {share, at} of this.#given.values()) {
      if (now - at > freshMs) continue;
      if (least === null || share < least) least = share;
    }
    return least ?? canaryShare(this.#bounds, this.known.order.durationMs);
  }

  /** Shares that the judges which speak give, by node id. */
  given(now: number): Readonly<Record<string, number>> {
    const fresh = [...this.#given].filter(([, {at}]) => now - at <= freshMs);
    return Object.fromEntries(fresh.map(([judge, {share}]) => [judge, share]));
  }

  /** Takes the stage of a judge; returns whether the state has changed. */
  onStage(judge: string, stage: StageMessage, now: number): boolean {
    this.#given.set(judge, {share: stage.share, at: now});
    this.#startAt = Math.min(this.#startAt, now - stage.elapsedMs);
    if (!this.isRunning || stage.state === this.state) return false;
    this.state = stage.state;
    return true;
  }

  onReport(nodeId: string, report: EvidenceReport, now: number): void {
    this.#reports.set(nodeId, {report, at: now});
  }

  /** Evidence of all nodes; a node that has ended counts with its last. */
  total(): RolloutEvidence {
    const total = new RolloutEvidence();
    for (const {report} of this.#reports.values()) total.merge(report);
    return total;
  }

  /** The given nodes that have not left the old version, with what is known. */
  notMoved(nodeIds: readonly string[], now: number): NotMoved[] {
    const found: NotMoved[] = [];
    for (const nodeId of nodeIds) {
      const known = this.#reports.get(nodeId);
      const ageMs = known ? Math.round(now - known.at) : null;
      const {share = 0, oldInFlight = 0} = known?.report ?? {};
      const isFresh = ageMs !== null && ageMs <= freshMs;
      if (isFresh && share === 1 && oldInFlight === 0) continue;
      found.push({nodeId, ageMs, share, oldInFlight});
    }
    return found;
  }
}
