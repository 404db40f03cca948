import type {ServerResponse} from 'node:http';
import type {MeshError} from '@verbenabeam/core';
import type {ResponseHead} from './call-head.js';
import {headerValue, forwardableHeaders} from './call-headers.js';
import type {CallProtocol} from './call-protocol.js';
import type {StoredResponse} from './entry-ports.js';
import type {ResponseMetadata} from './response-metadata.js';

/** Marks that do not change during a call. @internal */
export type CallMetadata = Omit<ResponseMetadata, 'retriesLeft'>;

/** Answers of claims are kept up to this size. */
const keptLimitBytes = 16_384;

/** The head of an answer that is not sent yet, with its marks. */
interface HeldAnswer {
  readonly status: number;
  readonly headers: readonly string[];
  readonly chunks: Uint8Array[];
}

/** The response to the caller, and a copy of it for the claim. @internal */
export class CallerResponse {
  /** Status that was sent, or will be once a held answer is whole. */
  status = 0;
  bytes = 0;
  readonly #res: ServerResponse;
  readonly #protocol: CallProtocol;
  readonly #mark: CallMetadata;
  /** Null if no copy is needed or the body is too large. */
  #kept: Uint8Array[] | null;
  #headers: readonly string[] = [];
  #held: HeldAnswer | null = null;

  constructor(
    res: ServerResponse,
    protocol: CallProtocol,
    mark: CallMetadata,
    keep: boolean,
  ) {
    this.#res = res;
    this.#protocol = protocol;
    this.#mark = mark;
    this.#kept = keep ? [] : null;
  }

  /** Whether bytes were sent to the caller. */
  get started(): boolean {
    return this.status !== 0 && !this.#held;
  }

  sendHead(answer: ResponseHead, code: number, retriesLeft: number): void {
    const mark = {...this.#mark, retriesLeft};
    const passed = this.#protocol.toCaller(
      answer.status,
      answer.headers,
      mark,
      code,
    );
    this.status = passed.status;
    this.#headers = forwardableHeaders(answer.headers);
    const limit = this.#protocol.maxBufferedResponseBytes;
    if (limit > 0 && lengthOf(answer.headers) <= limit) {
      this.#held = {...passed, chunks: []};
    } else {
      if (!isFramed(answer)) this.#endWithConnection();
      this.#res.writeHead(passed.status, [...passed.headers]);
    }
  }

  /**
   * Passes an answer without a length on as it came. A last chunk would tell the
   * caller that it is whole, which nobody knows.
   */
  #endWithConnection(): void {
    this.#res.useChunkedEncodingByDefault = false;
    this.#res.shouldKeepAlive = false;
  }

  /** False asks to wait for `drain`. */
  write(chunk: Uint8Array): boolean {
    this.bytes += chunk.length;
    if (this.bytes > keptLimitBytes) this.#kept = null;
    this.#kept?.push(chunk);
    if (!this.#held) return this.#res.write(chunk);
    this.#held.chunks.push(chunk);
    return true;
  }

  end(): void {
    const held = this.#held;
    this.#held = null;
    if (!held) {
      this.#res.end();
      return;
    }
    this.#res.writeHead(held.status, [...held.headers]);
    this.#res.end(Buffer.concat(held.chunks));
  }

  /** Drops a held answer, so that another one can take its place. */
  discardBuffered(): void {
    this.#held = null;
    this.status = 0;
    this.bytes = 0;
  }

  refuse(err: MeshError, retriesLeft: number): void {
    const mark = {...this.#mark, retriesLeft};
    this.discardBuffered();
    this.status = sendRefusal(this.#res, this.#protocol, err, mark);
  }

  /** Repeats the stored answer of a finished claim. */
  replay(answer: StoredResponse, code: number, retriesLeft: number): void {
    const {status, headers} = answer;
    this.sendHead({status, headers}, code, retriesLeft);
    if (answer.body) this.write(answer.body);
    this.end();
  }

  /**
   * Resets the connection, so that a part is not taken for the whole: the end of
   * a connection also ends an answer without a length.
   */
  resetConnection(): void {
    this.#res.socket?.resetAndDestroy();
    this.#res.destroy();
  }

  /** The answer as a claim stores it. */
  toStored(): StoredResponse {
    const body = this.#kept && Buffer.concat(this.#kept);
    return {status: this.status, headers: this.#headers, body};
  }
}

/** Sends a refusal; returns its status. @internal */
export function sendRefusal(
  res: ServerResponse,
  protocol: CallProtocol,
  err: MeshError,
  mark: ResponseMetadata,
): number {
  const {status, headers, body} = protocol.refusal(err, mark);
  res.writeHead(status, [...headers]);
  res.end(body);
  return status;
}

/** Statuses of answers that have no body. */
const bodylessStatuses: ReadonlySet<number> = new Set([204, 304]);

/** Whether the end of the answer shows in the answer itself. */
function isFramed({status, headers}: ResponseHead): boolean {
  if (bodylessStatuses.has(status)) return true;
  return (
    headerValue(headers, 'content-length') !== null ||
    headerValue(headers, 'transfer-encoding') !== null
  );
}

/** Announced length of a body; infinite if there is none. */
function lengthOf(headers: readonly string[]): number {
  const length = headerValue(headers, 'content-length');
  return length === null ? Infinity : Number(length);
}
