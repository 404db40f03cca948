import {ChangeWatch} from './change-watch.js';
import type {Evidence} from './evidence.js';
import {MoveAnalyzer, controllerAlphaPart} from './move-judge.js';
import type {MovePolicy} from './move-policy.js';
import type {MovePlan} from './move-machine.js';
import type {MoveRecord} from './move-record.js';
import {planShare} from './share-planner.js';
import type {Plan} from './share-planner.js';
import type {Verdict} from './verdict.js';

/** Calls and time at one share, summed over all steps with this share. */
interface ShareCounts {
  spentMs: number;
  newCalls: number;
  allCalls: number;
  readonly newByRoute: Map<string, number>;
}

/**
 * A shortage of ready capacity lowers the share after this time. A process
 * that restarts takes about 3 s; meanwhile the gates send calls to the old
 * version if no instance is ready, and admission refuses what is too much.
 * Without the wait, moves under repeated restarts lost so much time on the way
 * back that 1 in 10 missed the deadline.
 */
const shortageMs = 5_000;

/**
 * A change at 100% may come from the whole service, so the first one only leads
 * back to the control share, where old calls of the same seconds decide.
 */
const maxChanges = 2;

/** Facts of one decision. Times in milliseconds. @public */
export interface DecisionInput {
  readonly record: MoveRecord;
  readonly now: number;
  readonly wallTime: number;
  readonly capacityShare: number;
}

/**
 * Decides on one running move from its evidence: the logic of the controller,
 * without the store.
 *
 * @public
 */
export class MoveDecider {
  readonly #plan: MovePlan;
  readonly #policy: MovePolicy;
  readonly #judge: MoveAnalyzer;
  readonly #byShare = new Map<number, ShareCounts>();
  readonly #watch = new ChangeWatch();
  /** Times that the calls at 100% changed; a successor begins at 0. */
  #changes = 0;
  #counts = emptyCounts();
  #step = -1;
  /** Monotonic time at which this controller first saw the step. */
  #seenAt = 0;
  /** Start of the present shortage of capacity; null while there is none. */
  #shortSince: number | null = null;

  constructor(plan: MovePlan, policy: MovePolicy) {
    this.#plan = plan;
    this.#policy = policy;
    this.#judge = new MoveAnalyzer({
      policy,
      routes: plan.routes.length,
      alphaPart: controllerAlphaPart,
    });
  }

  /** Adds evidence that was counted under `record`. */
  addEvidence(evidence: Evidence, record: MoveRecord, now: number): void {
    this.#startStep(record, now);
    this.#judge.add(evidence, record.share, now);
    if (evidence.step !== record.step) return;
    const before = this.#watch.change();
    this.#watch.add(evidence.cells, record.share, now);
    if (this.#watch.change() !== before) this.#changes += 1;
    const counts = this.#counts;
    for (const {route, from, to} of evidence.cells) {
      counts.newCalls += to.calls;
      counts.allCalls += from.calls + to.calls;
      const sum = (counts.newByRoute.get(route) ?? 0) + to.calls;
      counts.newByRoute.set(route, sum);
    }
  }

  verdict(now: number): Verdict {
    this.#judge.attributeCrashes(now);
    const change = this.#watch.change();
    if (change !== null && this.#changes >= maxChanges) {
      return {kind: 'stop', reason: `${change}, for the second time`};
    }
    const verdict = this.#judge.verdict();
    // Two signs together: the calls are unlike those of the minutes before, and
    // the test of the same seconds has some evidence. Alone it takes 40 s at 36
    // calls/s with a control of 10%, which is over 2% of the traffic of a move.
    return verdict.kind === 'suspect' && this.#watch.isUnusual()
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
        capacityShare: this.#lastingCapacity(input),
        changes: this.#changes,
        change: this.#watch.change(),
        isUsual: this.#watch.isUsual(),
      },
      this.#policy,
    );
  }

  /** The capacity, or the present share during a short loss of capacity. */
  #lastingCapacity({record, now, capacityShare}: DecisionInput): number {
    if (capacityShare >= record.share) {
      this.#shortSince = null;
      return capacityShare;
    }
    this.#shortSince ??= now;
    const lasts = now - this.#shortSince >= shortageMs;
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
    this.#watch.startStep();
  }
}

function emptyCounts(): ShareCounts {
  return {spentMs: 0, newCalls: 0, allCalls: 0, newByRoute: new Map()};
}
