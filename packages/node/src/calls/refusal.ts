import type {ServerResponse} from 'node:http';
import {CALL_CODES} from '@verbenabeam/core';
import type {MeshError} from '@verbenabeam/core';
import {CALL_HEADERS} from './call-headers.js';

/** Headers of the system in a response. @internal */
export interface ResponseMark {
  readonly callId: string;
  /** 0 without a configuration. */
  readonly configVersion: number;
  /** Retries that the call did not use; null if it had none to use. */
  readonly retriesLeft: number | null;
}

/** Flat header list of a {@link ResponseMark} with its result code. */
export function markHeaders(mark: ResponseMark, code: number): string[] {
  const headers = [
    CALL_HEADERS.result,
    String(code),
    CALL_HEADERS.configVersion,
    String(mark.configVersion),
    CALL_HEADERS.callId,
    mark.callId,
  ];
  if (mark.retriesLeft !== null) {
    headers.push(CALL_HEADERS.retriesLeft, String(mark.retriesLeft));
  }
  return headers;
}

/** Sends an error as JSON body of code, name, message and notRun. @internal */
export function sendRefusal(
  res: ServerResponse,
  err: MeshError,
  mark: ResponseMark,
): void {
  const {code, name, message, notRun} = err.toJSON();
  const body = JSON.stringify({code, name, message, notRun});
  const headers = [
    'content-type',
    'application/json',
    'content-length',
    String(Buffer.byteLength(body)),
    ...markHeaders(mark, code),
  ];
  if (notRun) headers.push(CALL_HEADERS.notRun, 'true');
  // A caller that kept its connection would meet the ending node again.
  if (err.code === CALL_CODES.draining) headers.push('connection', 'close');
  res.writeHead(err.code.http, headers);
  res.end(body);
}
