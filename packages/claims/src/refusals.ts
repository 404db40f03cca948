import {Result} from 'true-myth';
import {CLAIM_CODES, MeshError} from '@verbenabeam/core';

type ClaimCode = (typeof CLAIM_CODES)[keyof typeof CLAIM_CODES];

/** Refuses a begin or a finish with a code of the claims. @internal */
export function refusal(
  code: ClaimCode,
  message: string,
  details = {},
): Result<never, MeshError> {
  return Result.err(new MeshError(code, message, details));
}

/** Refuses a begin because of an error of the store. @internal */
export function unavailable(cause: MeshError): Result<never, MeshError> {
  const details = {cause: cause.code.code};
  return refusal(CLAIM_CODES.unavailable, cause.message, details);
}
