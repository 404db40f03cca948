import type {IncomingMessage} from 'node:http';
import {CALL_CODES, newId} from '@verbenabeam/core';
import type {MeshError} from '@verbenabeam/core';
import type {CallHead} from './call-head.js';
import {
  CALL_HEADERS,
  headerValue,
  forwardableHeaders,
  readCallerHeaders,
} from './call-headers.js';
import {RESPONSE_KINDS} from './call-protocol.js';
import type {
  ResponseKind,
  CallProtocol,
  ForwardedResponse,
  RefusalResponse,
} from './call-protocol.js';
import {REPLAY_LIMIT_BYTES} from './replay-body.js';
import type {ResponseMetadata} from './response-metadata.js';

/** Protocol with the native headers of the product (`vb-*`). @public */
export const nativeProtocol: CallProtocol = {
  maxBufferedResponseBytes: 0,
  maxReplayBytes: REPLAY_LIMIT_BYTES,
  deadlineMarginMs: 0,
  propagatesRetries: true,
  callId: newId,
  readCaller: readCallerHeaders,
  toServing: ({rawHeaders}: IncomingMessage) => forwardableHeaders(rawHeaders),
  toUpstream,
  classify: (_head, _status, headers) => classify(headers),
  toCaller,
  refusal,
};

function toUpstream(head: CallHead, remainingMs: number): string[] {
  const {callId, depth, retriesLeft, headers} = head;
  return [
    ...forwardableHeaders(headers),
    CALL_HEADERS.callId,
    callId,
    CALL_HEADERS.deadlineMs,
    String(Math.floor(remainingMs)),
    CALL_HEADERS.depth,
    String(depth),
    CALL_HEADERS.retriesLeft,
    String(retriesLeft),
  ];
}

function classify(headers: readonly string[]): ResponseKind {
  return headerValue(headers, CALL_HEADERS.notRun) === 'true'
    ? RESPONSE_KINDS.notRun
    : RESPONSE_KINDS.answer;
}

function toCaller(
  status: number,
  headers: readonly string[],
  metadata: ResponseMetadata,
  code: number,
): ForwardedResponse {
  return {
    status,
    headers: [
      ...forwardableHeaders(headers),
      ...metadataHeaders(metadata, code),
    ],
  };
}

/** Encodes an error as a JSON body with code, name, message and notRun. */
function refusal(err: MeshError, metadata: ResponseMetadata): RefusalResponse {
  const {code, name, message, notRun} = err.toJSON();
  const body = JSON.stringify({code, name, message, notRun});
  const headers = [
    'content-type',
    'application/json',
    'content-length',
    String(Buffer.byteLength(body)),
    ...metadataHeaders(metadata, code),
  ];
  if (notRun) headers.push(CALL_HEADERS.notRun, 'true');
  // On a kept connection the next call would reach the stopping node again.
  if (err.code === CALL_CODES.draining) headers.push('connection', 'close');
  return {status: err.code.http, headers, body};
}

/** Headers for the response metadata and the result code, as a flat list. */
function metadataHeaders(metadata: ResponseMetadata, code: number): string[] {
  const headers = [
    CALL_HEADERS.result,
    String(code),
    CALL_HEADERS.configVersion,
    String(metadata.configVersion),
    CALL_HEADERS.callId,
    metadata.callId,
  ];
  if (metadata.retriesLeft !== null) {
    headers.push(CALL_HEADERS.retriesLeft, String(metadata.retriesLeft));
  }
  return headers;
}
