import {positionFields} from '@verbenabeam/store';
import type {RolloutEvidence, RolloutProgress} from '@verbenabeam/moves';
import {orderIdOf} from './rollout-messages.js';
import type {StageMessage} from './rollout-messages.js';
import type {RolloutRun} from './rollout-run.js';

/**
 * What the decision on the next share rests on.
 *
 * @param total - Evidence of all nodes.
 * @param isReady - Whether an instance of the target version is ready.
 *
 * @internal
 */
export function progressOf(
  run: RolloutRun,
  total: RolloutEvidence,
  isReady: boolean,
  now: number,
): RolloutProgress {
  return {
    elapsedMs: run.elapsedMs(now),
    durationMs: run.orderRecord.order.durationMs,
    sentFresh: total.sentFresh,
    sent: total.sent,
    answeredFresh: sumAnswered(total.routes.values()),
    isReady,
  };
}

/** Fields of a log line for the order of a run. @internal */
export function orderFields({orderRecord, state}: RolloutRun) {
  const {order, revision} = orderRecord;
  return {...order, ...positionFields(revision), state};
}

/** The stage that coordinators send. @internal */
export function stageOf(
  run: RolloutRun,
  share: number,
  now: number,
): StageMessage {
  return {
    service: run.orderRecord.order.service,
    ...orderIdOf(run.orderRecord.revision),
    state: run.state,
    share,
    elapsedMs: Math.max(0, run.elapsedMs(now)),
  };
}

function sumAnswered(
  routes: Iterable<{readonly fresh: {readonly answered: number}}>,
): number {
  let sum = 0;
  for (const {fresh} of routes) sum += fresh.answered;
  return sum;
}
