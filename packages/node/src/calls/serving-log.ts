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

/** Logs a call that was refused here or that its upstream failed. @internal */
export function logFailedCall(
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
 * Logs a call that its entry node cancelled.
 *
 * @param sent - Whether the request was sent to the upstream, at least in part.
 * @internal
 */
export function logCancelledCall(
  head: CallHead,
  times: ServingTimes,
  sent: boolean,
): void {
  log('Call was cancelled by its entry node.', {
    ...fieldsOf(head, times),
    sent,
  });
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
