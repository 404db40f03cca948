import {canaryShare, RolloutEvidence} from '@verbenabeam/moves';
import type {EvidenceReport, RolloutBounds} from '@verbenabeam/moves';
import {ROLLOUT_STATES} from './operator-documents.js';
import type {RolloutState} from './operator-documents.js';
import type {OrderRecord} from './operator-records.js';
import type {StageMessage} from './rollout-messages.js';

/** Older stages and reports do not describe the present state. */
const maxReportAgeMs = 1_000;
/**
 * Time after an order got another position when its status is read once more: a write
 * that was under way then may be carried out late, in ms.
 */
const recheckMs = 5_000;

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

/** State of one rollout as one node knows it. @internal */
export class RolloutRun {
  /** Evidence of this node. */
  readonly evidence = new RolloutEvidence();
  state: RolloutState = ROLLOUT_STATES.running;
  /** State in the store for this order; null if none. */
  recorded: RolloutState | null = null;
  isWriting = false;
  /** Share in the last report of this node. */
  reportedShare = 0;
  #orderRecord: OrderRecord;
  readonly #bounds: RolloutBounds;
  readonly #assigned = new Map<string, AssignedShare>();
  readonly #reports = new Map<string, NodeReport>();
  #startAt: number;
  /** Time at which the status in the store is read once more. */
  #recheckAt = Infinity;

  constructor(orderRecord: OrderRecord, bounds: RolloutBounds, now: number) {
    this.#orderRecord = orderRecord;
    this.#bounds = bounds;
    this.#startAt = now;
  }

  get orderRecord(): OrderRecord {
    return this.#orderRecord;
  }

  /** Takes another position of the same order; the store may lack its status. */
  move(revision: number, now: number): void {
    this.#orderRecord = {...this.#orderRecord, revision};
    this.recorded = null;
    this.#recheckAt = now + recheckMs;
  }

  /** Forgets the recorded state when it is to be read once more. */
  recheck(now: number): void {
    if (now < this.#recheckAt) return;
    this.#recheckAt = Infinity;
    this.recorded = null;
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
   * Share of calls that this node sends to the new version: the lowest share in
   * the recent stages of all coordinators. A node without a recent stage returns
   * to the initial share.
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

  /** Shares in the recent stages, by coordinator node id. */
  assignedShares(now: number): Readonly<Record<string, number>> {
    const recent = [...this.#assigned].filter(
      ([, {at}]) => now - at <= maxReportAgeMs,
    );
    return Object.fromEntries(
      recent.map(([coordinator, {share}]) => [coordinator, share]),
    );
  }

  /** Applies the stage of a coordinator; returns whether the state changed. */
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

  /** Evidence of all nodes; a node that ended counts with its last report. */
  totalEvidence(): RolloutEvidence {
    const total = new RolloutEvidence();
    for (const {report} of this.#reports.values()) total.merge(report);
    return total;
  }

  /** Returns the given nodes that may still use the old version. */
  laggingNodes(nodeIds: readonly string[], now: number): LaggingNode[] {
    const found: LaggingNode[] = [];
    for (const nodeId of nodeIds) {
      const known = this.#reports.get(nodeId);
      const ageMs = known ? Math.round(now - known.at) : null;
      const {share = 0, oldInFlight = 0} = known?.report ?? {};
      const isRecent = ageMs !== null && ageMs <= maxReportAgeMs;
      if (isRecent && share === 1 && oldInFlight === 0) continue;
      found.push({nodeId, ageMs, share, oldInFlight});
    }
    return found;
  }
}
