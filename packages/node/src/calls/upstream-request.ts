import type {Dispatcher, Pool} from 'undici';
import type {CallHead} from './call-head.js';
import {CALL_HEADERS, passedHeaders} from './call-headers.js';
import type {UpstreamBody} from './upstream-body.js';

/** Callbacks of an {@link UpstreamRequest}; one of the last three ends it. */
export interface UpstreamListener {
  onUpstreamHead(status: number, headers: string[]): void;
  /** False asks to wait for `resume`. */
  onUpstreamData(chunk: Uint8Array): boolean;
  onUpstreamEnd(): void;
  onUpstreamNotRun(): void;
  /** `sent` is false if no byte of the request was written. */
  onUpstreamError(err: Error, sent: boolean): void;
}

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
  readonly #listener: UpstreamListener;
  #abort: ((err?: Error) => void) | null = null;
  #resume: (() => void) | null = null;
  #aborted = false;
  #notRun = false;

  constructor(head: CallHead, listener: UpstreamListener) {
    this.#head = head;
    this.#listener = listener;
  }

  dispatch(
    pool: Pool,
    body: Buffer | UpstreamBody | null,
    remainingMs: number,
  ): void {
    const {method, path} = this.#head;
    const headers = this.#headers(remainingMs);
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
    if (this.#aborted) abort(new Error('The call was cancelled'));
    else this.sent = true;
  }

  onHeaders(status: number, raw: Buffer[], resume: () => void): boolean {
    if (status < firstFinalStatus) return true;
    this.#resume = resume;
    const headers = raw.map(item => item.toString('latin1'));
    this.#notRun = saysNotRun(headers);
    if (!this.#notRun) this.#listener.onUpstreamHead(status, headers);
    return true;
  }

  onData(chunk: Buffer): boolean {
    if (this.#notRun || this.#aborted) return true;
    return this.#listener.onUpstreamData(chunk);
  }

  onComplete(): void {
    if (this.#aborted) return;
    if (this.#notRun) this.#listener.onUpstreamNotRun();
    else this.#listener.onUpstreamEnd();
  }

  onError(err: Error): void {
    if (this.#aborted) return;
    if (this.#notRun) this.#listener.onUpstreamNotRun();
    else this.#listener.onUpstreamError(err, this.sent);
  }

  #headers(remainingMs: number): string[] {
    const {callId, depth, retriesLeft, headers} = this.#head;
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
}

function saysNotRun(headers: readonly string[]): boolean {
  for (let i = 0; i + 1 < headers.length; i += 2) {
    if (headers[i]?.toLowerCase() !== CALL_HEADERS.notRun) continue;
    return headers[i + 1] === 'true';
  }
  return false;
}

/** Whether undici rejects the request itself, whatever the upstream does. */
export function isInvalidRequest(err: Error): boolean {
  const code = 'code' in err ? err.code : '';
  return code === 'UND_ERR_INVALID_ARG' || code === 'UND_ERR_NOT_SUPPORTED';
}
