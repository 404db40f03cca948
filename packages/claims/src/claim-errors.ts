import {Result} from 'true-myth';
import {CLAIM_CODES, MeshError} from '@verbenabeam/core';

type ClaimCode = (typeof CLAIM_CODES)[keyof typeof CLAIM_CODES];

/** Error reply to a begin or a finish. @internal */
export function claimError(
  code: ClaimCode,
  message: string,
  details = {},
): Result<never, MeshError> {
  return Result.err(new MeshError(code, message, details));
}

/** Error reply to a begin that failed on a store error. @internal */
export function unavailableError(cause: MeshError): Result<never, MeshError> {
  const details = {cause: cause.code.code};
  return claimError(CLAIM_CODES.unavailable, cause.message, details);
}
