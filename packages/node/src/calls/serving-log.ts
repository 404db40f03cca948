import {logger} from '@verbenabeam/core';
import type {MeshError} from '@verbenabeam/core';
import type {LoadReport} from '@verbenabeam/routing';
import type {CallHead} from './call-head.js';

/** Times of a call on the clock of `performance.now()`, in ms. @internal */
export interface ServingTimes {
  readonly startAt: number;
  readonly deadlineAt: number;
}

const log = logger('serving');

/** Logs a call that the serving node or its upstream did not answer. @internal */
export function logFailed(
  head: CallHead,
  times: ServingTimes,
  {code, message}: MeshError,
  {inFlight, queued, slots}: LoadReport,
): void {
  log('Call did not run to its end here.', {
    ...fieldsOf(head, times),
    code: code.code,
    reason: message,
    inFlight,
    queued,
    slots,
  });
}

/**
 * Logs a call that its entry node ended.
 *
 * @param sent - Whether the upstream got it, at least in part.
 * @internal
 */
export function logCancelled(
  head: CallHead,
  times: ServingTimes,
  sent: boolean,
): void {
  log('Call was ended by its entry node.', {...fieldsOf(head, times), sent});
}

function fieldsOf(
  {callId, routeName}: CallHead,
  {startAt, deadlineAt}: ServingTimes,
) {
  const now = performance.now();
  return {
    requestId: callId,
    route: routeName,
    ms: Math.round(now - startAt),
    leftMs: Math.round(deadlineAt - now),
  };
}
