import {ChangeDetector} from './change-detector.js';
import type {Evidence} from './evidence.js';
import {MoveAnalyzer, controllerAlphaPart} from './move-analyzer.js';
import type {MovePolicy} from './move-policy.js';
import type {MovePlan} from './move-transitions.js';
import type {MoveRecord} from './move-record.js';
import {planShare} from './share-planner.js';
import type {Plan} from './share-planner.js';
import type {Verdict} from './verdict.js';

/** Calls and time at one share, over all steps with this share. */
interface ShareCounts {
  spentMs: number;
  newCalls: number;
  allCalls: number;
  readonly newByRoute: Map<string, number>;
}

/**
 * A loss of ready capacity lowers the share after this time. A restart of a
 * process takes about 3 s. Meanwhile the entry nodes send calls to the old
 * version if no instance of the new one is ready, and admission refuses excess
 * calls. Without the delay, moves under repeated restarts lose so much time
 * while the share rises again that 1 in 10 misses the deadline.
 */
const capacityLossDelayMs = 5_000;

/**
 * A change at 100% may come from the whole service, so the first one only
 * lowers the share to the control share, where calls to the old version in the
 * same seconds decide. The second one stops the move.
 */
const maxChanges = 2;

/** Input of one decision. Times in milliseconds. @public */
export interface DecisionInput {
  readonly record: MoveRecord;
  readonly now: number;
  readonly wallTime: number;
  readonly capacityShare: number;
}

/**
 * Decides on one running move from its evidence. This is the logic of the
 * controller without the store.
 *
 * @public
 */
export class MoveDecider {
  readonly #plan: MovePlan;
  readonly #policy: MovePolicy;
  readonly #analyzer: MoveAnalyzer;
  readonly #byShare = new Map<number, ShareCounts>();
  readonly #detector = new ChangeDetector();
  /** Number of changes detected at 100%. A new controller starts at 0. */
  #changes = 0;
  #counts = emptyCounts();
  #step = -1;
  /** Monotonic time at which this controller first saw the step. */
  #seenAt = 0;
  /** Start of the current loss of capacity; null while there is none. */
  #capacityLostSince: number | null = null;

  constructor(plan: MovePlan, policy: MovePolicy) {
    this.#plan = plan;
    this.#policy = policy;
    this.#analyzer = new MoveAnalyzer({
      policy,
      routes: plan.routes.length,
      alphaPart: controllerAlphaPart,
    });
  }

  /** Adds evidence of the move; `record` is its current record. */
  addEvidence(evidence: Evidence, record: MoveRecord, now: number): void {
    this.#startStep(record, now);
    this.#analyzer.add(evidence, record.share, now);
    if (evidence.step !== record.step) return;
    const before = this.#detector.change();
    this.#detector.add(evidence.cells, record.share, now);
    if (this.#detector.change() !== before) this.#changes += 1;
    const counts = this.#counts;
    for (const {route, from, to} of evidence.cells) {
      counts.newCalls += to.calls;
      counts.allCalls += from.calls + to.calls;
      const sum = (counts.newByRoute.get(route) ?? 0) + to.calls;
      counts.newByRoute.set(route, sum);
    }
  }

  verdict(now: number): Verdict {
    this.#analyzer.attributeCrashes(now);
    const change = this.#detector.change();
    if (change !== null && this.#changes >= maxChanges) {
      return {kind: 'stop', reason: `${change}, for the second time`};
    }
    const verdict = this.#analyzer.verdict();
    // A suspect version in an unusual window is stopped at once. The test alone
    // needs 40 s at 36 calls/s with a control of 10%, which is over 2% of the
    // traffic of a move.
    return verdict.kind === 'suspect' && this.#detector.isUnusual()
      ? {kind: 'stop', reason: verdict.reason}
      : verdict;
  }

  decide(input: DecisionInput): Plan {
    const {record, now, wallTime} = input;
    this.#startStep(record, now);
    const verdict = this.verdict(now);
    if (verdict.kind === 'stop') {
      return {kind: 'takeBack', reason: verdict.reason};
    }
    const counts = this.#counts;
    return planShare(
      {
        share: record.share,
        reached: record.reached,
        atShareMs: counts.spentMs + now - this.#seenAt,
        sinceChangeMs: now - this.#seenAt,
        toDeadlineMs: record.deadline - wallTime,
        clean: verdict.kind === 'clean',
        fewestRouteCalls: this.#fewestRouteCalls(),
        newCalls: counts.newCalls,
        allCalls: counts.allCalls,
        capacityShare: this.#sustainedCapacity(input),
        changes: this.#changes,
        change: this.#detector.change(),
        isUsual: this.#detector.isUsual(),
      },
      this.#policy,
    );
  }

  /**
   * The capacity share, or the current share during a short loss of capacity.
   */
  #sustainedCapacity({record, now, capacityShare}: DecisionInput): number {
    if (capacityShare >= record.share) {
      this.#capacityLostSince = null;
      return capacityShare;
    }
    this.#capacityLostSince ??= now;
    const lasts = now - this.#capacityLostSince >= capacityLossDelayMs;
    return lasts ? capacityShare : record.share;
  }

  #fewestRouteCalls(): number {
    const {newByRoute} = this.#counts;
    const calls = this.#plan.routes.map(route => newByRoute.get(route) ?? 0);
    return Math.min(...calls);
  }

  #startStep(record: MoveRecord, now: number): void {
    if (record.step === this.#step) return;
    this.#counts.spentMs += now - this.#seenAt;
    this.#counts = this.#byShare.get(record.share) ?? emptyCounts();
    this.#byShare.set(record.share, this.#counts);
    this.#step = record.step;
    this.#seenAt = now;
    this.#detector.startStep();
  }
}

function emptyCounts(): ShareCounts {
  return {spentMs: 0, newCalls: 0, allCalls: 0, newByRoute: new Map()};
}
