import type {IncomingMessage} from 'node:http';
import type {MeshError} from '@verbenabeam/core';
import type {Result} from 'true-myth';
import type {CallHead} from './call-head.js';
import type {CallerHeaders} from './call-headers.js';
import type {ResponseMetadata} from './response-metadata.js';
import type {OwnUpstream} from './serving-ports.js';

/** What the head of an upstream's response means for the request. @public */
export const RESPONSE_KINDS = {
  /** The response to the request. */
  answer: 'answer',
  /** The upstream refused the request without running it. */
  notRun: 'notRun',
  /** The request reached another upstream than intended, which refused it. */
  otherUpstream: 'otherUpstream',
  /** The response belongs to another request, or its status is invalid. */
  foreign: 'foreign',
} as const;

/** One of the values of {@link RESPONSE_KINDS}. @public */
export type ResponseKind = (typeof RESPONSE_KINDS)[keyof typeof RESPONSE_KINDS];

/** The response to a refused call, as sent to the caller. @public */
export interface RefusalResponse {
  readonly status: number;
  /** Flat list of names and values. */
  readonly headers: readonly string[];
  readonly body: string;
}

/** Status and headers of a response, as sent to the caller. @public */
export interface ForwardedResponse {
  readonly status: number;
  /** Flat list of names and values. */
  readonly headers: readonly string[];
}

/**
 * Encodes and decodes the headers that callers, nodes and upstreams exchange. It
 * makes no decisions about calls.
 *
 * @public
 */
export interface CallProtocol {
  /**
   * Responses up to this size are buffered until complete, those of unknown length
   * also beyond it if there is memory; 0: none.
   */
  readonly maxBufferedResponseBytes: number;
  /** Largest request body that is kept for retries. */
  readonly maxReplayBytes: number;
  /** How long before the caller's deadline a call must be answered, in ms. */
  readonly deadlineMarginMs: number;
  /** Whether upstreams get the remaining retries, for use in their sub-calls. */
  readonly propagatesRetries: boolean;
  /** Id for a received call. */
  callId(req: IncomingMessage): string;
  /** Parses the caller's headers. Malformed ones yield `calls.badRequest`. */
  readCaller(req: IncomingMessage): Result<CallerHeaders, MeshError>;
  /** Headers to forward to the serving node. */
  toServing(req: IncomingMessage): string[];
  /** Headers for the request to the upstream. */
  toUpstream(
    head: CallHead,
    remainingMs: number,
    upstream: OwnUpstream,
  ): string[];
  /** Classifies a response of the upstream by status and headers. */
  classify(
    head: CallHead,
    status: number,
    headers: readonly string[],
  ): ResponseKind;
  /** Status and headers of a response for the caller. */
  toCaller(
    status: number,
    headers: readonly string[],
    metadata: ResponseMetadata,
    code: number,
  ): ForwardedResponse;
  /** The response to a call that a node refused or could not complete. */
  refusal(err: MeshError, metadata: ResponseMetadata): RefusalResponse;
}
