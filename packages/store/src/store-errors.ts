import {MeshError, STORE_CODES} from '@verbenabeam/core';
import type {ErrorDetails} from '@verbenabeam/core';

/** Whether a repetition of a call can run it twice. @public */
export type CallKind = 'read' | 'write';

/** Socket errors that occur before any byte of the request was sent. */
const notSentCodes: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Errors of a call whose connection was open and brought nothing in time. */
const timeoutCodes: ReadonlySet<string> = new Set([
  'TimeoutError',
  'UND_ERR_HEADERS_TIMEOUT',
  'UND_ERR_BODY_TIMEOUT',
]);

/** The operation is known as not applied. @public */
export function unavailable(message: string, details: ErrorDetails = {}) {
  return new MeshError(STORE_CODES.unavailable, message, details);
}

/** The write may have been applied. @public */
export function unknownOutcome(message: string, details: ErrorDetails = {}) {
  return new MeshError(STORE_CODES.unknownOutcome, message, details);
}

/** The call budget of the role is used up. @public */
export function overBudget(message: string, details: ErrorDetails = {}) {
  return new MeshError(STORE_CODES.overBudget, message, details);
}

/** A write rests on a revision that the store no longer has. @public */
export function conflict(message: string, details: ErrorDetails = {}) {
  return new MeshError(STORE_CODES.conflict, message, details);
}

/** The store refused the operation; a repetition fails in the same way. @public */
export function rejected(message: string, details: ErrorDetails = {}) {
  return new MeshError(STORE_CODES.rejected, message, details);
}

/** True when the write behind the error may have been applied. @public */
export function isUnknownOutcome(err: MeshError): boolean {
  return err.code === STORE_CODES.unknownOutcome;
}

/** A read changes nothing, so its failure leaves no doubt. @public */
export function uncertain(
  kind: CallKind,
  message: string,
  details: ErrorDetails = {},
) {
  return kind === 'read'
    ? unavailable(message, details)
    : unknownOutcome(message, details);
}

/** The error of a call that got no readable response. @public */
export function errorOfTransport(kind: CallKind, err: unknown): MeshError {
  const {code, message} = describe(err);
  const details = {reason: code};
  return notSentCodes.has(code)
    ? unavailable(message, details)
    : uncertain(kind, message, details);
}

/** Whether the call ended since nothing arrived in time. @public */
export function isTimeout({details}: MeshError): boolean {
  const {reason} = details;
  return typeof reason === 'string' && timeoutCodes.has(reason);
}

function describe(err: unknown): {code: string; message: string} {
  if (!(err instanceof Error)) return {code: 'unknown', message: String(err)};
  // The code of a DOMException is a number, which tells less than its name.
  const code = (err as {code?: unknown}).code;
  return {
    code: typeof code === 'string' ? code : err.name,
    message: err.message,
  };
}
