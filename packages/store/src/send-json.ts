import {parseJson} from '@verbenabeam/core';
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
  /** Time without a byte of the response. Default: only `timeoutMs`. */
  readonly silenceMs?: number | undefined;
  readonly signal?: AbortSignal | undefined;
}

/** @public */
export interface JsonResponse {
  readonly status: number;
  /** Undefined if the body is not JSON. */
  readonly body: unknown;
}

/** Sends one call; rejects if it gets no whole response in time. @public */
export async function sendJson(call: JsonCall): Promise<JsonResponse> {
  const limit = AbortSignal.timeout(Math.max(1, Math.ceil(call.timeoutMs)));
  const res = await request(call.url, {
    method: call.method,
    dispatcher: call.dispatcher,
    signal: call.signal ? AbortSignal.any([limit, call.signal]) : limit,
    ...(call.silenceMs === undefined
      ? {}
      : {headersTimeout: call.silenceMs, bodyTimeout: call.silenceMs}),
    ...(call.query ? {query: call.query} : {}),
    ...(call.body === undefined
      ? {}
      : {
          body: JSON.stringify(call.body),
          headers: {'content-type': 'application/json'},
        }),
  });
  const text = await res.body.text();
  return {status: res.statusCode, body: parseJson(text)};
}
