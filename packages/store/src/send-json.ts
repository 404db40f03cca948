import {parseJson} from '@verbenabeam/core';
import type {IncomingHttpHeaders} from 'node:http';
import {request} from 'undici';
import type {Dispatcher} from 'undici';

/** One HTTP call with a JSON body. @public */
export interface JsonCall {
  readonly url: string;
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly query?: Readonly<Record<string, string | number>> | undefined;
  /** Undefined sends none. */
  readonly body?: unknown;
  readonly dispatcher: Dispatcher;
  readonly timeoutMs: number;
  /** Time limit for the head of the response. Default: only `timeoutMs`. */
  readonly headMs?: number | undefined;
  /** Time without a byte of the response. Default: only `timeoutMs`. */
  readonly silenceMs?: number | undefined;
  readonly signal?: AbortSignal | undefined;
}

/** @public */
export interface JsonResponse {
  readonly status: number;
  /** Undefined if the body is not JSON. */
  readonly body: unknown;
  readonly headers: IncomingHttpHeaders;
}

/** Sends one call; rejects if it gets no whole response in time. @public */
export async function sendJson(call: JsonCall): Promise<JsonResponse> {
  const limit = AbortSignal.timeout(Math.max(1, Math.ceil(call.timeoutMs)));
  const head = new HeadLimit(call.headMs);
  const signals = [limit, head.signal, call.signal];
  const res = await request(call.url, {
    method: call.method,
    dispatcher: call.dispatcher,
    signal: AbortSignal.any(signals.filter(signal => signal !== undefined)),
    ...(call.silenceMs === undefined
      ? {}
      : {
          // The head has a limit of its own, if any.
          ...(call.headMs === undefined
            ? {headersTimeout: call.silenceMs}
            : {}),
          bodyTimeout: call.silenceMs,
        }),
    ...(call.query ? {query: call.query} : {}),
    ...(call.body === undefined
      ? {}
      : {
          body: JSON.stringify(call.body),
          headers: {'content-type': 'application/json'},
        }),
  }).finally(() => head.clear());
  const text = await res.body.text();
  const {statusCode: status, headers} = res;
  return {status, body: parseJson(text), headers};
}

/**
 * Time limit for the head of a response; undefined sets none. The limits of undici may
 * be up to a second late.
 */
class HeadLimit {
  readonly #end = new AbortController();
  readonly #timer: NodeJS.Timeout | undefined;

  constructor(headMs: number | undefined) {
    if (headMs === undefined) return;
    const reason = new DOMException('No head in time', 'TimeoutError');
    this.#timer = setTimeout(() => this.#end.abort(reason), headMs);
  }

  get signal(): AbortSignal {
    return this.#end.signal;
  }

  clear(): void {
    clearTimeout(this.#timer);
  }
}
