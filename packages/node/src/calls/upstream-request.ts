import type {ReadGate, ResponseSockets} from '@verbenabeam/http';
import type {Dispatcher, Pool} from 'undici';
import type {CallHead} from './call-head.js';
import {headerValue} from './call-headers.js';
import {RESPONSE_KINDS} from './call-protocol.js';
import type {ResponseKind, CallProtocol} from './call-protocol.js';
import {PartJoiner} from './part-joiner.js';
import type {OwnUpstream} from './serving-ports.js';
import type {UpstreamBody} from './upstream-body.js';

/** Callbacks of an {@link UpstreamRequest}; each of the last three ends it. */
export interface UpstreamListener {
  /** Called before the request is written; false cancels it. */
  onUpstreamConnected(): boolean;
  onUpstreamHead(status: number, headers: string[]): void;
  /** False pauses the response until `resume`. */
  onUpstreamData(chunk: Uint8Array): boolean;
  onUpstreamEnd(): void;
  /** @param otherUpstream - Whether another upstream now has the address. */
  onUpstreamNotRun(otherUpstream: boolean): void;
  /** @param sent - False if no byte of the request was written. */
  onUpstreamError(err: Error, sent: boolean): void;
}

/** The connection is closed if the body of a refusal is longer. */
const maxRefusalBytes = 65_536;
/** Bodies up to this length are assumed to be read together with the head. */
const maxBodyBytesReadWithHead = 16_384;
/** Upstreams usually send one or two; more are treated as an upstream fault. */
const maxInformationalHeads = 16;
/** Lowest status of a final response. */
const firstFinalStatus = 200;
/** Highest status that RFC 9110 allows. */
const lastStatus = 599;

/**
 * One request to the upstream of this node. It uses undici's low-level handler,
 * whose raw headers are forwarded without being parsed into an object.
 *
 * @internal
 */
export class UpstreamRequest implements Dispatcher.DispatchHandler {
  /** Whether the request was written to a connection, at least in part. */
  sent = false;
  readonly #head: CallHead;
  readonly #protocol: CallProtocol;
  readonly #listener: UpstreamListener;
  readonly #sockets: ResponseSockets;
  readonly #parts: PartJoiner;
  #abort: ((err?: Error) => void) | null = null;
  /** Null before the head of the response. */
  #gate: ReadGate | null = null;
  #aborted = false;
  #isChunked = false;
  #refusalBytes = 0;
  #informationalHeads = 0;
  #kind: ResponseKind = RESPONSE_KINDS.answer;

  constructor(
    head: CallHead,
    protocol: CallProtocol,
    listener: UpstreamListener,
    sockets: ResponseSockets,
  ) {
    this.#sockets = sockets;
    this.#head = head;
    this.#protocol = protocol;
    this.#listener = listener;
    this.#parts = new PartJoiner({
      write: part => listener.onUpstreamData(part),
      onOpen: () => this.#gate?.release(),
    });
  }

  dispatch(
    pool: Pool,
    upstream: OwnUpstream,
    body: Buffer | UpstreamBody | null,
    remainingMs: number,
  ): void {
    const {method, path} = this.#head;
    const headers = this.#protocol.toUpstream(
      this.#head,
      remainingMs,
      upstream,
    );
    const options = {method: method as Dispatcher.HttpMethod, path, headers};
    pool.dispatch({...options, body}, this);
  }

  /** Aborts the request; no callback follows. */
  abort(): void {
    this.#aborted = true;
    this.#parts.drop();
    this.#abort?.(new Error('The call was cancelled'));
  }

  resume(): void {
    this.#parts.unblock();
    this.#gate?.release();
  }

  onConnect(abort: (err?: Error) => void): void {
    this.#abort = abort;
    if (!this.#aborted) this.#aborted = !this.#listener.onUpstreamConnected();
    if (this.#aborted) abort(new Error('The call was cancelled'));
    else this.sent = true;
  }

  onHeaders(status: number, raw: Buffer[]): boolean {
    if (status < firstFinalStatus) {
      this.#countInformationalHead();
      return true;
    }
    const headers = raw.map(item => item.toString('latin1'));
    this.#isChunked = headerValue(headers, 'transfer-encoding') !== null;
    this.#gate = this.#sockets.onHead(this.#isChunked);
    this.#kind =
      status <= lastStatus
        ? this.#protocol.classify(this.#head, status, headers)
        : RESPONSE_KINDS.foreign;
    if (this.#kind === RESPONSE_KINDS.answer) {
      this.#listener.onUpstreamHead(status, headers);
    } else if (this.#kind === RESPONSE_KINDS.foreign) {
      const message = 'The response is invalid or belongs to another request';
      this.#abort?.(new Error(message));
    } else {
      this.#closeIfBodyUnread();
      this.#reportNotRun();
    }
    return true;
  }

  onData(chunk: Buffer): boolean {
    this.#sockets.onBody(chunk.length);
    if (this.#isNotRun) this.#discardRefusalBody(chunk);
    if (this.#kind !== RESPONSE_KINDS.answer || this.#aborted) return true;
    if (!this.#parts.push(chunk)) this.#gate?.hold();
    return true;
  }

  onComplete(): void {
    this.#sockets.onResponseEnd();
    this.#gate?.release();
    if (this.#aborted || this.#isNotRun) return;
    this.#parts.flush();
    const err = this.#sockets.truncation(this.#isChunked);
    if (err) this.#listener.onUpstreamError(err, true);
    else this.#listener.onUpstreamEnd();
  }

  onError(err: Error): void {
    if (this.#aborted || this.#isNotRun) return;
    this.#parts.flush();
    this.#listener.onUpstreamError(err, this.sent);
  }

  get #isNotRun(): boolean {
    const {notRun, otherUpstream} = RESPONSE_KINDS;
    return this.#kind === notRun || this.#kind === otherUpstream;
  }

  /** Discards the body of a refusal, whose head has all that is needed. */
  #discardRefusalBody(chunk: Buffer): void {
    this.#refusalBytes += chunk.length;
    if (this.#refusalBytes <= maxRefusalBytes) return;
    this.#abort?.(new Error('The body of the refusal is too long'));
  }

  #countInformationalHead(): void {
    if (++this.#informationalHeads <= maxInformationalHeads) return;
    this.#abort?.(
      new Error('The upstream sends too many informational responses'),
    );
  }

  /**
   * Closes the connection after a refusal of a request with a long body. The
   * upstream may have refused it before it read the body, and the next call on
   * the connection would wait until the body is read.
   */
  #closeIfBodyUnread(): void {
    const {bodyBytes} = this.#head;
    if (bodyBytes !== null && bodyBytes <= maxBodyBytesReadWithHead) return;
    this.#abort?.(
      new Error('The upstream may not have read the body of a refused request'),
    );
  }

  #reportNotRun(): void {
    const isOther = this.#kind === RESPONSE_KINDS.otherUpstream;
    this.#listener.onUpstreamNotRun(isOther);
  }
}

/** Whether undici rejected the request as invalid before it was sent. */
export function isInvalidRequest(err: Error): boolean {
  const code = 'code' in err ? err.code : '';
  return code === 'UND_ERR_INVALID_ARG' || code === 'UND_ERR_NOT_SUPPORTED';
}
