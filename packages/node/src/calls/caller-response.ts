import type {ServerResponse} from 'node:http';
import type {MeshError} from '@verbenabeam/core';
import type {ResponseHead} from './call-head.js';
import {headerValue, forwardableHeaders} from './call-headers.js';
import type {CallProtocol} from './call-protocol.js';
import type {StoredResponse} from './entry-ports.js';
import type {MemoryBudget} from './memory-budget.js';
import type {ResponseMetadata} from './response-metadata.js';

/** Response metadata that stays the same during a call. @internal */
export type CallMetadata = Omit<ResponseMetadata, 'retriesLeft'>;

/** Largest response body that is stored with a claim. */
const maxStoredBodyBytes = 16_384;

/** Options of {@link CallerResponse}. @internal */
export interface CallerResponseOptions {
  readonly protocol: CallProtocol;
  readonly metadata: CallMetadata;
  /** Whether a copy of a short response is kept for a claim. */
  readonly keepCopy: boolean;
  /** For buffered responses without a length. */
  readonly memory: MemoryBudget;
  /** Called when a response without a length finds no memory. */
  readonly onNoMemory: () => void;
}

/** A response that is buffered until it is complete. */
interface BufferedResponse {
  readonly status: number;
  readonly headers: readonly string[];
  readonly chunks: Uint8Array[];
  /** Whether the headers show where the body ends. */
  readonly isFramed: boolean;
  /** Bytes that count in the shared memory. */
  sharedBytes: number;
}

/** The response to the caller, and the copy of it that a claim stores. @internal */
export class CallerResponse {
  /** Status that was sent, or that a buffered response will be sent with. */
  status = 0;
  bytes = 0;
  readonly #res: ServerResponse;
  readonly #protocol: CallProtocol;
  readonly #metadata: CallMetadata;
  readonly #memory: MemoryBudget;
  readonly #onNoMemory: () => void;
  /** Copy of the body; null if none is needed or the body is too large. */
  #bodyCopy: Uint8Array[] | null;
  #headers: readonly string[] = [];
  #buffered: BufferedResponse | null = null;

  constructor(
    res: ServerResponse,
    {protocol, metadata, keepCopy, memory, onNoMemory}: CallerResponseOptions,
  ) {
    this.#res = res;
    this.#protocol = protocol;
    this.#metadata = metadata;
    this.#memory = memory;
    this.#onNoMemory = onNoMemory;
    this.#bodyCopy = keepCopy ? [] : null;
  }

  /** Whether any part of the response was sent to the caller. */
  get started(): boolean {
    return this.status !== 0 && !this.#buffered;
  }

  sendHead(response: ResponseHead, code: number, retriesLeft: number): void {
    const metadata = {...this.#metadata, retriesLeft};
    const forwarded = this.#protocol.toCaller(
      response.status,
      response.headers,
      metadata,
      code,
    );
    this.status = forwarded.status;
    this.#headers = forwardableHeaders(response.headers);
    const isFramed = this.#isFramed(response);
    this.#buffered = {...forwarded, chunks: [], isFramed, sharedBytes: 0};
    // Without a length no part may be sent: if this process ends, the system closes its
    // connections in the usual way, and what was sent looks complete.
    if (!isFramed) return;
    const limit = this.#protocol.maxBufferedResponseBytes;
    const length = contentLengthOf(response.headers);
    if (limit === 0 || length > limit) this.#startStreaming();
  }

  /** Sends the head and what was buffered. */
  #startStreaming(): void {
    const buffered = this.#takeBuffered();
    if (!buffered) return;
    this.#writeHead(buffered);
    for (const chunk of buffered.chunks) this.#res.write(chunk);
  }

  /**
   * Writes the head of a response. One of unknown length ends by closing the
   * connection, as it did at the upstream: a length or a final chunk would tell the
   * caller that it is complete, which the node cannot know if the upstream crashed.
   */
  #writeHead({status, headers, isFramed}: BufferedResponse): void {
    if (!isFramed) {
      this.#res.useChunkedEncodingByDefault = false;
      this.#res.shouldKeepAlive = false;
    }
    this.#res.writeHead(status, [...headers]);
  }

  /** Whether the response shows the caller where its body ends. */
  #isFramed({status, headers}: ResponseHead): boolean {
    const {method, httpVersion} = this.#res.req;
    if (bodylessStatuses.has(status) || method === 'HEAD') return true;
    if (headerValue(headers, 'content-length') !== null) return true;
    // Callers of HTTP/1.0 get no chunks.
    return (
      headerValue(headers, 'transfer-encoding') !== null &&
      httpVersion !== oldHttpVersion
    );
  }

  /** Returns false if the writer must wait for `drain` before writing more. */
  write(chunk: Uint8Array): boolean {
    this.bytes += chunk.length;
    if (this.bytes > maxStoredBodyBytes) this.#bodyCopy = null;
    this.#bodyCopy?.push(chunk);
    if (!this.#buffered) return this.#res.write(chunk);
    this.#buffered.chunks.push(chunk);
    if (this.bytes <= this.#protocol.maxBufferedResponseBytes) return true;
    if (this.#buffered.isFramed) {
      this.#startStreaming();
      return !this.#res.writableNeedDrain;
    }
    if (this.#memory.hasRoom) {
      this.#buffered.sharedBytes += chunk.length;
      this.#memory.take(chunk.length);
    } else this.#onNoMemory();
    return true;
  }

  end(): void {
    const buffered = this.#buffered;
    this.#buffered = null;
    if (!buffered) {
      this.#res.end();
      return;
    }
    this.#writeHead(buffered);
    const {chunks, sharedBytes} = buffered;
    const [only] = chunks;
    this.#res.end(chunks.length === 1 ? only : Buffer.concat(chunks));
    if (sharedBytes === 0) return;
    this.#releaseOnceSent(sharedBytes);
  }

  /**
   * Frees the memory of an ended response when the system has all of it, or when its
   * connection has closed: a response behind one that closes the connection has no end.
   */
  #releaseOnceSent(sharedBytes: number): void {
    const {socket} = this.#res.req;
    const release = () => {
      this.#res.off('close', release);
      socket.off('close', release);
      this.#memory.release(sharedBytes);
    };
    this.#res.once('close', release);
    socket.once('close', release);
  }

  /** Frees the memory of a response that nobody waits for any more. */
  release(): void {
    this.#takeBuffered();
  }

  /** Drops a buffered response, so that a retry can provide another one. */
  discardBuffered(): void {
    this.release();
    this.status = 0;
    this.bytes = 0;
  }

  #takeBuffered(): BufferedResponse | null {
    const buffered = this.#buffered;
    this.#buffered = null;
    if (buffered) this.#memory.release(buffered.sharedBytes);
    return buffered;
  }

  refuse(err: MeshError, retriesLeft: number): void {
    const metadata = {...this.#metadata, retriesLeft};
    this.discardBuffered();
    this.status = sendRefusal(this.#res, this.#protocol, err, metadata);
  }

  /** Sends the stored response of a finished claim again. */
  replay(response: StoredResponse, code: number, retriesLeft: number): void {
    const {status, headers} = response;
    this.sendHead({status, headers}, code, retriesLeft);
    if (response.body) this.write(response.body);
    this.end();
  }

  /**
   * Resets the connection, so that the caller does not take a truncated response
   * for a complete one: a normal close also ends a response without a length.
   */
  resetConnection(): void {
    this.#res.socket?.resetAndDestroy();
    this.#res.destroy();
  }

  /** The response in the form that a claim stores. */
  toStored(): StoredResponse {
    const body = this.#bodyCopy && Buffer.concat(this.#bodyCopy);
    return {status: this.status, headers: this.#headers, body};
  }
}

/** Sends a refusal and returns its status. @internal */
export function sendRefusal(
  res: ServerResponse,
  protocol: CallProtocol,
  err: MeshError,
  metadata: ResponseMetadata,
): number {
  const {status, headers, body} = protocol.refusal(err, metadata);
  res.writeHead(status, [...headers]);
  res.end(body);
  return status;
}

const oldHttpVersion = '1.0';
/** Statuses of responses without a body. */
const bodylessStatuses: ReadonlySet<number> = new Set([204, 304]);

/** Value of `content-length`; infinite without the header. */
function contentLengthOf(headers: readonly string[]): number {
  const length = headerValue(headers, 'content-length');
  return length === null ? Infinity : Number(length);
}
