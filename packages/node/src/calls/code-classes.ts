import {CALL_CODES, WIRE_CODES} from '@verbenabeam/core';
import type {ResultCode} from '@verbenabeam/core';

const nonRetryableCodes: readonly ResultCode[] = [
  CALL_CODES.quarantined,
  CALL_CODES.tooDeep,
  CALL_CODES.badRequest,
  CALL_CODES.deadlineTooClose,
];

const unreachableCodes: readonly ResultCode[] = [
  WIRE_CODES.unreachable,
  WIRE_CODES.handshakeRefused,
  WIRE_CODES.closing,
];

/**
 * Whether every other instance would refuse the request for the same reason.
 *
 * @internal
 */
export function isNotRetryable(code: ResultCode): boolean {
  return nonRetryableCodes.includes(code);
}

/**
 * Whether the call failed because no connection to the instance could be used.
 *
 * @internal
 */
export function isUnreachable(code: ResultCode): boolean {
  return unreachableCodes.includes(code);
}
