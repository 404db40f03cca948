import type {Dispatcher, Pool} from 'undici';
import type {CallHead} from './call-head.js';
import {headerValue} from './call-headers.js';
import {RESPONSE_KINDS} from './call-protocol.js';
import type {ResponseKind, CallProtocol} from './call-protocol.js';
import type {ResetWatch} from './reset-watch.js';
import type {OwnUpstream} from './serving-ports.js';
import type {UpstreamBody} from './upstream-body.js';

/** Callbacks of an {@link UpstreamRequest}; one of the last three ends it. */
export interface UpstreamListener {
  /** The request is about to be written; false if it must not be any more. */
  onUpstreamConnected(): boolean;
  onUpstreamHead(status: number, headers: string[]): void;
  /** False asks to wait for `resume`. */
  onUpstreamData(chunk: Uint8Array): boolean;
  onUpstreamEnd(): void;
  /** `otherUpstream`: another upstream has taken the address. */
  onUpstreamNotRun(otherUpstream: boolean): void;
  /** `sent` is false if no byte of the request was written. */
  onUpstreamError(err: Error, sent: boolean): void;
}

/** More of a refusal's body is not read: the connection is closed. */
const maxRefusalBytes = 65_536;
/** An upstream has read a body of at most this many bytes with the head, we assume. */
const readWithHeadBytes = 16_384;
/** An upstream sends one or two; more are a fault of its own. */
const maxInformationalHeads = 16;
/** Status from which an answer is final. */
const firstFinalStatus = 200;

/**
 * One request to the own upstream. It uses undici's handler with raw headers,
 * which are passed on without being parsed into an object.
 *
 * @internal
 */
export class UpstreamRequest implements Dispatcher.DispatchHandler {
  /** Whether the request was written to a connection, at least in part. */
  sent = false;
  readonly #head: CallHead;
  readonly #protocol: CallProtocol;
  readonly #listener: UpstreamListener;
  readonly #resets: Pick<ResetWatch, 'isFailing' | 'isEnding'>;
  #abort: ((err?: Error) => void) | null = null;
  #resume: (() => void) | null = null;
  #aborted = false;
  #isChunked = false;
  #refusalBytes = 0;
  #informationalHeads = 0;
  #kind: ResponseKind = RESPONSE_KINDS.answer;

  constructor(
    head: CallHead,
    protocol: CallProtocol,
    listener: UpstreamListener,
    resets: Pick<ResetWatch, 'isFailing' | 'isEnding'>,
  ) {
    this.#resets = resets;
    this.#head = head;
    this.#protocol = protocol;
    this.#listener = listener;
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

  /** Ends the request; no callback follows. */
  abort(): void {
    this.#aborted = true;
    this.#abort?.(new Error('The call was cancelled'));
  }

  resume(): void {
    this.#resume?.();
  }

  onConnect(abort: (err?: Error) => void): void {
    this.#abort = abort;
    if (!this.#aborted) this.#aborted = !this.#listener.onUpstreamConnected();
    if (this.#aborted) abort(new Error('The call was cancelled'));
    else this.sent = true;
  }

  onHeaders(status: number, raw: Buffer[], resume: () => void): boolean {
    if (status < firstFinalStatus) {
      this.#takeInformational();
      return true;
    }
    this.#resume = resume;
    const headers = raw.map(item => item.toString('latin1'));
    this.#isChunked = headerValue(headers, 'transfer-encoding') !== null;
    this.#kind = this.#protocol.classify(this.#head, status, headers);
    if (this.#kind === RESPONSE_KINDS.answer) {
      this.#listener.onUpstreamHead(status, headers);
    } else if (this.#kind === RESPONSE_KINDS.foreign) {
      this.#abort?.(new Error('The answer belongs to another request'));
    } else {
      this.#leaveUnreadBody();
      this.#reportNotRun();
    }
    return true;
  }

  onData(chunk: Buffer): boolean {
    if (this.#isNotRun) this.#dropRefusal(chunk);
    if (this.#kind !== RESPONSE_KINDS.answer || this.#aborted) return true;
    return this.#listener.onUpstreamData(chunk);
  }

  onComplete(): void {
    if (this.#aborted || this.#isNotRun) return;
    if (this.#isCut) {
      const err = new Error('The answer was cut on the way');
      this.#listener.onUpstreamError(err, true);
    } else this.#listener.onUpstreamEnd();
  }

  onError(err: Error): void {
    if (this.#aborted || this.#isNotRun) return;
    this.#listener.onUpstreamError(err, this.sent);
  }

  /** A whole answer in chunks ends with its last chunk, not with the channel. */
  get #isCut(): boolean {
    const {isFailing, isEnding} = this.#resets;
    return isFailing || (isEnding && this.#isChunked);
  }

  get #isNotRun(): boolean {
    const {notRun, otherUpstream} = RESPONSE_KINDS;
    return this.#kind === notRun || this.#kind === otherUpstream;
  }

  /** The head of a refusal says all; a long body is not worth its reading. */
  #dropRefusal(chunk: Buffer): void {
    this.#refusalBytes += chunk.length;
    if (this.#refusalBytes <= maxRefusalBytes) return;
    this.#abort?.(new Error('The refusal has no end'));
  }

  #takeInformational(): void {
    if (++this.#informationalHeads <= maxInformationalHeads) return;
    this.#abort?.(new Error('The upstream sends only informational heads'));
  }

  /**
   * An upstream may refuse a long request before it has read its body, and read
   * on later: the next call on the connection would wait behind that body.
   */
  #leaveUnreadBody(): void {
    const {bodyBytes} = this.#head;
    if (bodyBytes !== null && bodyBytes <= readWithHeadBytes) return;
    this.#abort?.(new Error('The body of a refused request may be unread'));
  }

  #reportNotRun(): void {
    const isOther = this.#kind === RESPONSE_KINDS.otherUpstream;
    this.#listener.onUpstreamNotRun(isOther);
  }
}

/** Whether undici rejects the request itself, whatever the upstream does. */
export function isInvalidRequest(err: Error): boolean {
  const code = 'code' in err ? err.code : '';
  return code === 'UND_ERR_INVALID_ARG' || code === 'UND_ERR_NOT_SUPPORTED';
}
