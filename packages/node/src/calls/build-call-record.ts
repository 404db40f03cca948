import type {ResultCode} from '@verbenabeam/core';
import type {ThrottleRejection} from '@verbenabeam/routing';
import type {AttemptRecord, CallRecord} from './call-record.js';
import type {VersionChoice} from './entry-ports.js';
import type {ReceivedCall} from './routed-call.js';

/** The end of a call, as far as only its handler knows it. @internal */
export interface CallEnd {
  readonly service: string | null;
  readonly choice: VersionChoice | null;
  readonly attempts: readonly AttemptRecord[];
  readonly headMs: number | null;
  readonly status: number;
  readonly responseBytes: number;
  readonly code: ResultCode;
  /** Set if the throttle of this node rejected the call. */
  readonly turnedAway?: ThrottleRejection | null;
}

/** Builds the record of a call that ends now. @internal */
export function buildCallRecord(call: ReceivedCall, end: CallEnd): CallRecord {
  const {req, headers, route, snapshot, callId, startAt} = call;
  const durationMs = performance.now() - startAt;
  return {
    callId,
    parentCallId: headers?.parentCallId ?? null,
    startedAt: Date.now() - durationMs,
    durationMs,
    headMs: end.headMs,
    method: req.method ?? '',
    path: req.url ?? '',
    callerClass: headers?.callerClass ?? 'other',
    route: route?.name ?? null,
    service: end.service,
    version: end.choice?.version ?? null,
    moveId: end.choice?.moveId ?? null,
    configVersion: snapshot?.version ?? 0,
    depth: headers?.depth ?? 0,
    attempts: end.attempts,
    code: end.code,
    turnedAway: end.turnedAway ?? null,
    status: end.status,
    responseBytes: end.responseBytes,
  };
}
