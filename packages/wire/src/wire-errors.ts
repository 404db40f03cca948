import {findCode, MeshError, WIRE_CODES} from '@verbenabeam/core';
import type {ErrorDetails} from '@verbenabeam/core';
import type {Frame} from './frame.js';

/** Fields of an error in a failure or reset frame. @internal */
export function errorFields(err: MeshError): [number, string, ErrorDetails] {
  return [err.code.code, err.message, err.details];
}

/** Reads an error from a failure or reset frame, after its id. @internal */
export function errorFromFrame(frame: Frame): MeshError {
  const [, , number, message, details] = frame;
  const code = typeof number === 'number' ? findCode(number) : undefined;
  const isObject = typeof details === 'object' && details !== null;
  return new MeshError(
    code ?? WIRE_CODES.handlerFailed,
    typeof message === 'string' ? message : 'The peer reported a failure',
    isObject ? (details as ErrorDetails) : {},
  );
}

/** The error of a frame that was queued but not written. @internal */
export function notSent(cause: MeshError): MeshError {
  return new MeshError(WIRE_CODES.unreachable, cause.message, cause.details);
}

/** The error of an exchange that its sender aborted. @internal */
export function cancelled(): MeshError {
  return new MeshError(WIRE_CODES.cancelled, 'The sender cancelled');
}

/** The error of an exchange on a connection that takes no more. @internal */
export function connectionClosed(): MeshError {
  return new MeshError(WIRE_CODES.unreachable, 'The connection is closed');
}

/** The error of a peer that leaves too much unread. @internal */
export function unread(): MeshError {
  const message = 'The peer does not read what was sent';
  return new MeshError(WIRE_CODES.unreachable, message);
}

/**
 * The error of what was sent on a connection that ended: whatever the cause,
 * it may have been processed.
 *
 * @internal
 */
export function asLost(err: MeshError): MeshError {
  if (err.code === WIRE_CODES.connectionLost) return err;
  return new MeshError(WIRE_CODES.connectionLost, err.message, {
    cause: err.code.name,
  });
}
