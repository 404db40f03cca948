import type {Route} from '@verbenabeam/document';
import type {CallerHeaders} from './call-headers.js';

/**
 * Time limit of a call, in ms from when it was read: the timeout of its route, or
 * the deadline of its caller minus the margin for the response to arrive, if that
 * is less.
 *
 * @internal
 */
export function callTimeoutMs(
  {deadlineMs}: CallerHeaders,
  {timeoutMs}: Route,
  deadlineMarginMs: number,
): number {
  return Math.min(Math.max(1, deadlineMs - deadlineMarginMs), timeoutMs);
}
