import {Result} from 'true-myth';
import {request} from 'undici';
import type {Dispatcher} from 'undici';
import {failureOfResponse, failureOfTransport} from './etcd-errors.js';
import type {CallKind, Failure} from './etcd-errors.js';

const okStatus = 200;

/** @internal */
export interface PostJsonOptions {
  readonly url: string;
  readonly body: unknown;
  readonly kind: CallKind;
  readonly dispatcher: Dispatcher;
  readonly timeoutMs: number;
  readonly signal?: AbortSignal | undefined;
}

/** Posts one JSON body and reads one JSON body. @internal */
export async function postJson(
  options: PostJsonOptions,
): Promise<Result<unknown, Failure>> {
  const {url, kind, dispatcher} = options;
  const limit = AbortSignal.timeout(Math.max(1, Math.ceil(options.timeoutMs)));
  const signal = options.signal
    ? AbortSignal.any([limit, options.signal])
    : limit;
  try {
    const res = await request(url, {
      method: 'POST',
      headers: {'content-type': 'application/json'},
      body: JSON.stringify(options.body),
      dispatcher,
      signal,
    });
    const text = await res.body.text();
    const body = parse(text);
    if (res.statusCode === okStatus) return Result.ok(body);
    return Result.err(failureOfResponse(kind, res.statusCode, body));
  } catch (err) {
    return Result.err(failureOfTransport(kind, err));
  }
}

function parse(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return null;
  }
}
