import type {Evidence} from './evidence.js';
import {MoveJudge, controllerAlphaPart} from './move-judge.js';
import type {MovePolicy} from './move-policy.js';
import type {MovePlan} from './move-machine.js';
import type {MoveRecord} from './move-record.js';
import {planShare} from './share-planner.js';
import type {Plan} from './share-planner.js';
import type {Verdict} from './verdict.js';

/** New and all calls at the present share. */
interface StepCounts {
  step: number;
  /** Monotonic time at which this controller first saw the step. */
  seenAt: number;
  newCalls: number;
  allCalls: number;
  readonly newByRoute: Map<string, number>;
}

/** Facts of one decision. Times in milliseconds. @public */
export interface PilotInput {
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
export class MovePilot {
  readonly #plan: MovePlan;
  readonly #policy: MovePolicy;
  readonly #judge: MoveJudge;
  #counts = emptyStep(-1, 0);

  constructor(plan: MovePlan, policy: MovePolicy) {
    this.#plan = plan;
    this.#policy = policy;
    this.#judge = new MoveJudge({
      policy,
      routes: plan.routes.length,
      alphaPart: controllerAlphaPart,
    });
  }

  /** Adds evidence that was counted under `record`. */
  addEvidence(evidence: Evidence, record: MoveRecord, now: number): void {
    this.#startStep(record.step, now);
    this.#judge.add(evidence, record.share, now);
    if (evidence.step !== record.step) return;
    const counts = this.#counts;
    for (const {route, from, to} of evidence.cells) {
      counts.newCalls += to.calls;
      counts.allCalls += from.calls + to.calls;
      const sum = (counts.newByRoute.get(route) ?? 0) + to.calls;
      counts.newByRoute.set(route, sum);
    }
  }

  verdict(now: number): Verdict {
    this.#judge.settle(now);
    return this.#judge.verdict();
  }

  decide(input: PilotInput): Plan {
    const {record, now, wallTime} = input;
    this.#startStep(record.step, now);
    const verdict = this.verdict(now);
    if (verdict.kind === 'stop') {
      return {kind: 'takeBack', reason: verdict.reason};
    }
    const counts = this.#counts;
    return planShare(
      {
        share: record.share,
        atShareMs: now - counts.seenAt,
        toDeadlineMs: record.deadline - wallTime,
        clean: verdict.kind === 'clean',
        fewestRouteCalls: this.#fewestRouteCalls(),
        newCalls: counts.newCalls,
        allCalls: counts.allCalls,
        capacityShare: input.capacityShare,
      },
      this.#policy,
    );
  }

  #fewestRouteCalls(): number {
    const {newByRoute} = this.#counts;
    const calls = this.#plan.routes.map(route => newByRoute.get(route) ?? 0);
    return Math.min(...calls);
  }

  #startStep(step: number, now: number): void {
    if (step !== this.#counts.step) this.#counts = emptyStep(step, now);
  }
}

function emptyStep(step: number, now: number): StepCounts {
  return {step, seenAt: now, newCalls: 0, allCalls: 0, newByRoute: new Map()};
}
