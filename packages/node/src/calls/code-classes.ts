import {CALL_CODES, WIRE_CODES} from '@verbenabeam/core';
import type {ResultCode} from '@verbenabeam/core';

const finalCodes: readonly ResultCode[] = [
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
 * Whether another instance would refuse the same request for the same reason.
 *
 * @internal
 */
export function isNotRetryable(code: ResultCode): boolean {
  return finalCodes.includes(code);
}

/**
 * Whether the call did not get past the connection to the instance.
 *
 * @internal
 */
export function isUnreachable(code: ResultCode): boolean {
  return unreachableCodes.includes(code);
}
