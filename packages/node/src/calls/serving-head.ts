import {CALL_CODES, MeshError} from '@verbenabeam/core';
import type {ResultCode} from '@verbenabeam/core';
import {UPSTREAM_STATES} from '@verbenabeam/membership';
import {fingerprintOf} from '@verbenabeam/routing';
import type {CallHead} from './call-head.js';
import type {ServingBody} from './serving-body.js';
import type {ServingTimes} from './serving-log.js';
import type {AdmissionRequest, OwnUpstream} from './serving-ports.js';

/**
 * Time after which a caller returns whose request an upstream with room refused,
 * in ms: nothing has to be cleared there first.
 */
const shedReturnMs = 20;

/** What a call asks admission for. @internal */
export function slotRequest(
  {callId, routeName, priority, targetMs, callerClass}: CallHead,
  {startAt, deadlineAt}: ServingTimes,
): AdmissionRequest {
  return {
    callId,
    deadlineAt,
    route: routeName,
    priority,
    targetAt: startAt + targetMs,
    callerClass,
  };
}

/** Fingerprint of a call, by what is known of its body. @internal */
export function fingerprintOfCall(
  {service, method, path}: CallHead,
  body: ServingBody,
): string {
  return fingerprintOf({service, method, path, body: body.known});
}

/** What refuses a call to the own upstream at this moment. @internal */
export function refusalBy(
  upstream: OwnUpstream | null,
  {service, version}: CallHead,
  {deadlineAt}: ServingTimes,
): ResultCode | null {
  if (upstream?.state === UPSTREAM_STATES.draining) return CALL_CODES.draining;
  if (upstream?.state !== UPSTREAM_STATES.ready) return CALL_CODES.upstreamDown;
  if (upstream.service !== service || upstream.version !== version) {
    return CALL_CODES.noInstance;
  }
  if (performance.now() >= deadlineAt) return CALL_CODES.deadlineTooClose;
  return null;
}

/** The refusal that a code stands for. @internal */
export function errorOf(code: ResultCode): MeshError {
  const isShed = code === CALL_CODES.upstreamShed;
  const details = isShed ? {retryAfterMs: shedReturnMs} : {};
  return new MeshError(code, code.text, details);
}
