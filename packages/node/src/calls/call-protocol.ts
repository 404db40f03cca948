import type {IncomingMessage} from 'node:http';
import type {MeshError} from '@verbenabeam/core';
import type {Result} from 'true-myth';
import type {CallHead} from './call-head.js';
import type {CallerHeaders} from './call-headers.js';
import type {ResponseMetadata} from './response-metadata.js';
import type {OwnUpstream} from './serving-ports.js';

/** What the head of an upstream's answer says about its request. @public */
export const RESPONSE_KINDS = {
  /** The answer to the request. */
  answer: 'answer',
  /** The upstream refused the request without running it. */
  notRun: 'notRun',
  /** Another upstream than the intended one refused the request. */
  otherUpstream: 'otherUpstream',
  /** The answer belongs to another request. */
  foreign: 'foreign',
} as const;

/** One of the values of {@link RESPONSE_KINDS}. @public */
export type ResponseKind = (typeof RESPONSE_KINDS)[keyof typeof RESPONSE_KINDS];

/** A refusal as it is sent to the caller. @public */
export interface RefusalResponse {
  readonly status: number;
  /** Flat list of names and values. */
  readonly headers: readonly string[];
  readonly body: string;
}

/** An answer as it is sent to the caller. @public */
export interface ForwardedResponse {
  readonly status: number;
  /** Flat list of names and values. */
  readonly headers: readonly string[];
}

/**
 * Names and formats of the headers that callers, nodes and upstreams exchange.
 * It decides nothing about calls.
 *
 * @public
 */
export interface CallProtocol {
  /** Answers of a known length up to this many bytes are held until whole. */
  readonly maxBufferedResponseBytes: number;
  /** Request bodies up to this many bytes are kept for retries. */
  readonly maxReplayBytes: number;
  /** Time before the caller's deadline at which it must have an answer, in ms. */
  readonly deadlineMarginMs: number;
  /** Whether upstreams account for the retries of their own calls. */
  readonly propagatesRetries: boolean;
  /** Id of a call that was received. */
  callId(req: IncomingMessage): string;
  /** Reads the caller's headers; malformed ones are `calls.badRequest`. */
  readCaller(req: IncomingMessage): Result<CallerHeaders, MeshError>;
  /** Headers that go along to the serving node. */
  toServing(req: IncomingMessage): string[];
  /** Headers of the request to the upstream. */
  toUpstream(
    head: CallHead,
    remainingMs: number,
    upstream: OwnUpstream,
  ): string[];
  /** Classifies an answer of the upstream by its head. */
  classify(
    head: CallHead,
    status: number,
    headers: readonly string[],
  ): ResponseKind;
  /** Status and headers of an answer for the caller. */
  toCaller(
    status: number,
    headers: readonly string[],
    mark: ResponseMetadata,
    code: number,
  ): ForwardedResponse;
  /** A refusal or failure of the system's own. */
  refusal(err: MeshError, mark: ResponseMetadata): RefusalResponse;
}
