import {MeshError, STORE_CODES} from '@verbenabeam/core';
import type {ErrorDetails} from '@verbenabeam/core';

/** The operation is known as not applied. @internal */
export function unavailable(message: string, details: ErrorDetails = {}) {
  return new MeshError(STORE_CODES.unavailable, message, details);
}

/** The write may have been applied. @internal */
export function unknownOutcome(message: string, details: ErrorDetails = {}) {
  return new MeshError(STORE_CODES.unknownOutcome, message, details);
}

/** The call budget of the role is used up. @internal */
export function overBudget(message: string, details: ErrorDetails = {}) {
  return new MeshError(STORE_CODES.overBudget, message, details);
}

/** The store refused the operation; a repetition fails in the same way. @internal */
export function rejected(message: string, details: ErrorDetails = {}) {
  return new MeshError(STORE_CODES.rejected, message, details);
}

/** True when the write behind the error may have been applied. @public */
export function isUnknownOutcome(err: MeshError): boolean {
  return err.code === STORE_CODES.unknownOutcome;
}
