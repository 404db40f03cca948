import {CALL_CODES} from '@verbenabeam/core';
import type {ResultCode} from '@verbenabeam/core';

const finalCodes: readonly ResultCode[] = [
  CALL_CODES.quarantined,
  CALL_CODES.tooDeep,
  CALL_CODES.badRequest,
  CALL_CODES.deadlineTooClose,
];

/**
 * Whether another instance would refuse the same request for the same reason.
 *
 * @internal
 */
export function isFinal(code: ResultCode): boolean {
  return finalCodes.includes(code);
}
