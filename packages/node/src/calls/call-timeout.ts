import type {Route} from '@verbenabeam/document';
import type {CallerHeaders} from './call-headers.js';

/**
 * Time in which a call must be answered, in ms from its reading: that of its route,
 * or that of its caller less the time for the answer to reach it.
 *
 * @internal
 */
export function callTimeoutMs(
  {deadlineMs}: CallerHeaders,
  {timeoutMs}: Route,
  answerLeadMs: number,
): number {
  return Math.min(Math.max(1, deadlineMs - answerLeadMs), timeoutMs);
}
