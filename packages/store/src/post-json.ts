import {Result} from 'true-myth';
import {failureOfResponse, failureOfTransport} from './etcd-errors.js';
import type {Failure} from './etcd-errors.js';
import {sendJson} from './send-json.js';
import type {JsonCall} from './send-json.js';
import type {CallKind} from './store-errors.js';

const okStatus = 200;

/** @internal */
export interface PostJsonOptions extends Omit<JsonCall, 'method' | 'query'> {
  readonly kind: CallKind;
}

/** Posts one JSON body and reads one JSON body. @internal */
export async function postJson(
  options: PostJsonOptions,
): Promise<Result<unknown, Failure>> {
  const {kind} = options;
  try {
    const {status, body} = await sendJson({...options, method: 'POST'});
    if (status === okStatus) return Result.ok(body);
    return Result.err(failureOfResponse(kind, status, body));
  } catch (err) {
    return Result.err(failureOfTransport(kind, err));
  }
}
