import {CALL_CODES} from '@verbenabeam/core';
import type {MeshError, ResultCode} from '@verbenabeam/core';
import type {Route} from '@verbenabeam/document';

/** What decides whether a failed attempt is followed by another. @internal */
export interface RetryQuestion {
  readonly err: MeshError;
  readonly route: Route;
  readonly retriesLeft: number;
  readonly remainingMs: number;
  readonly replayable: boolean;
  /** Whether part of an answer was passed on to the caller. */
  readonly answered: boolean;
}

/** Another instance would refuse the same request for the same reason. */
const finalCodes: readonly ResultCode[] = [
  CALL_CODES.quarantined,
  CALL_CODES.tooDeep,
  CALL_CODES.badRequest,
  CALL_CODES.deadlineTooClose,
];

/**
 * A retry needs proof that the request was not run, or an idempotent route. A
 * request that may have crashed an upstream is not sent to another.
 *
 * @internal
 */
export function mayRetry(q: RetryQuestion): boolean {
  if (q.answered || !q.replayable) return false;
  if (q.retriesLeft <= 0 || q.remainingMs <= 0) return false;
  if (finalCodes.includes(q.err.code)) return false;
  if (q.err.details['suspect'] === true) return false;
  return q.err.code.notRun || q.route.idempotent;
}
