import {canaryShare, RolloutEvidence} from '@verbenabeam/moves';
import type {EvidenceReport, RolloutBounds} from '@verbenabeam/moves';
import {ROLLOUT_STATES} from './operator-documents.js';
import type {RolloutState} from './operator-documents.js';
import type {OrderRecord} from './operator-records.js';
import type {StageMessage} from './rollout-messages.js';

/** A stage or report that is older says nothing about now. */
const maxReportAgeMs = 1_000;

interface AssignedShare {
  readonly share: number;
  readonly at: number;
}

/** A node that may still use the old version. @internal */
export interface LaggingNode {
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
  readonly orderRecord: OrderRecord;
  /** Own evidence. */
  readonly evidence = new RolloutEvidence();
  state: RolloutState = ROLLOUT_STATES.running;
  /** State that the store shows for this order; null if none. */
  recorded: RolloutState | null = null;
  isWriting = false;
  /** Share in the last report of this node. */
  reportedShare = 0;
  readonly #bounds: RolloutBounds;
  readonly #assigned = new Map<string, AssignedShare>();
  readonly #reports = new Map<string, NodeReport>();
  #startAt: number;

  constructor(orderRecord: OrderRecord, bounds: RolloutBounds, now: number) {
    this.orderRecord = orderRecord;
    this.#bounds = bounds;
    this.#startAt = now;
  }

  get target(): string {
    return this.orderRecord.order.targetVersion;
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
    for (const {share, at} of this.#assigned.values()) {
      if (now - at > maxReportAgeMs) continue;
      if (least === null || share < least) least = share;
    }
    return (
      least ?? canaryShare(this.#bounds, this.orderRecord.order.durationMs)
    );
  }

  /** Shares that the judges which speak give, by node id. */
  assignedShares(now: number): Readonly<Record<string, number>> {
    const fresh = [...this.#assigned].filter(
      ([, {at}]) => now - at <= maxReportAgeMs,
    );
    return Object.fromEntries(
      fresh.map(([coordinator, {share}]) => [coordinator, share]),
    );
  }

  /** Takes the stage of a judge; returns whether the state has changed. */
  onStage(coordinator: string, stage: StageMessage, now: number): boolean {
    this.#assigned.set(coordinator, {share: stage.share, at: now});
    this.#startAt = Math.min(this.#startAt, now - stage.elapsedMs);
    if (!this.isRunning || stage.state === this.state) return false;
    this.state = stage.state;
    return true;
  }

  onReport(nodeId: string, report: EvidenceReport, now: number): void {
    this.#reports.set(nodeId, {report, at: now});
  }

  /** Evidence of all nodes; a node that has ended counts with its last. */
  totalEvidence(): RolloutEvidence {
    const total = new RolloutEvidence();
    for (const {report} of this.#reports.values()) total.merge(report);
    return total;
  }

  /** The given nodes that have not left the old version, with what is known. */
  laggingNodes(nodeIds: readonly string[], now: number): LaggingNode[] {
    const found: LaggingNode[] = [];
    for (const nodeId of nodeIds) {
      const known = this.#reports.get(nodeId);
      const ageMs = known ? Math.round(now - known.at) : null;
      const {share = 0, oldInFlight = 0} = known?.report ?? {};
      const isFresh = ageMs !== null && ageMs <= maxReportAgeMs;
      if (isFresh && share === 1 && oldInFlight === 0) continue;
      found.push({nodeId, ageMs, share, oldInFlight});
    }
    return found;
  }
}
