import type {ServerResponse} from 'node:http';
import type {MeshError} from '@verbenabeam/core';
import type {AnswerHead} from './call-head.js';
import {passedHeaders} from './call-headers.js';
import type {StoredAnswer} from './entry-ports.js';
import {markHeaders, sendRefusal} from './refusal.js';
import type {ResponseMark} from './refusal.js';

/** Marks that do not change during a call. @internal */
export type CallMark = Omit<ResponseMark, 'retriesLeft'>;

/** Answers of claims are kept up to this size. */
const keptLimitBytes = 16_384;

/** The response to the caller, and a copy of it for the claim. @internal */
export class CallerResponse {
  status = 0;
  bytes = 0;
  readonly #res: ServerResponse;
  readonly #mark: CallMark;
  /** Null if no copy is needed or the body is too large. */
  #kept: Uint8Array[] | null;
  #headers: readonly string[] = [];

  constructor(res: ServerResponse, mark: CallMark, keep: boolean) {
    this.#res = res;
    this.#mark = mark;
    this.#kept = keep ? [] : null;
  }

  get started(): boolean {
    return this.status !== 0;
  }

  head(answer: AnswerHead, code: number, retriesLeft: number): void {
    this.status = answer.status;
    this.#headers = passedHeaders(answer.headers);
    const marks = markHeaders({...this.#mark, retriesLeft}, code);
    this.#res.writeHead(answer.status, [...this.#headers, ...marks]);
  }

  /** False asks to wait for `drain`. */
  write(chunk: Uint8Array): boolean {
    this.bytes += chunk.length;
    if (this.bytes > keptLimitBytes) this.#kept = null;
    this.#kept?.push(chunk);
    return this.#res.write(chunk);
  }

  end(): void {
    this.#res.end();
  }

  refuse(err: MeshError, retriesLeft: number): void {
    this.status = err.code.http;
    sendRefusal(this.#res, err, {...this.#mark, retriesLeft});
  }

  /** Repeats the stored answer of a finished claim. */
  replay(answer: StoredAnswer, code: number, retriesLeft: number): void {
    const {status, headers} = answer;
    this.head({status, headers}, code, retriesLeft);
    if (answer.body) this.write(answer.body);
    this.end();
  }

  /** Cuts the connection, so that a part is not taken for the whole. */
  cut(): void {
    this.#res.destroy();
  }

  /** The answer as a claim stores it. */
  stored(): StoredAnswer {
    const body = this.#kept && Buffer.concat(this.#kept);
    return {status: this.status, headers: this.#headers, body};
  }
}
