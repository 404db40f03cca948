import type {IncomingMessage} from 'node:http';
import {CALL_CODES, newId} from '@verbenabeam/core';
import type {MeshError} from '@verbenabeam/core';
import type {CallHead} from './call-head.js';
import {
  CALL_HEADERS,
  headerValue,
  passedHeaders,
  readCallerHeaders,
} from './call-headers.js';
import {ANSWER_KINDS} from './call-protocol.js';
import type {
  AnswerKind,
  CallProtocol,
  PassedAnswer,
  RefusalResponse,
} from './call-protocol.js';
import {REPLAY_LIMIT_BYTES} from './replay-body.js';
import type {ResponseMark} from './response-mark.js';

/** The product's own headers (`vb-*`). @public */
export const nativeProtocol: CallProtocol = {
  heldAnswerBytes: 0,
  replayBytes: REPLAY_LIMIT_BYTES,
  answerLeadMs: 0,
  passesRetries: true,
  callId: newId,
  readCaller: readCallerHeaders,
  toServing: ({rawHeaders}: IncomingMessage) => passedHeaders(rawHeaders),
  toUpstream,
  classify: (_head, _status, headers) => classify(headers),
  toCaller,
  refusal,
};

function toUpstream(head: CallHead, remainingMs: number): string[] {
  const {callId, depth, retriesLeft, headers} = head;
  return [
    ...passedHeaders(headers),
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

function classify(headers: readonly string[]): AnswerKind {
  return headerValue(headers, CALL_HEADERS.notRun) === 'true'
    ? ANSWER_KINDS.notRun
    : ANSWER_KINDS.answer;
}

function toCaller(
  status: number,
  headers: readonly string[],
  mark: ResponseMark,
  code: number,
): PassedAnswer {
  return {
    status,
    headers: [...passedHeaders(headers), ...markHeaders(mark, code)],
  };
}

/** An error as JSON body of code, name, message and notRun. */
function refusal(err: MeshError, mark: ResponseMark): RefusalResponse {
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
  return {status: err.code.http, headers, body};
}

/** Flat header list of a mark with its result code. */
function markHeaders(mark: ResponseMark, code: number): string[] {
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
