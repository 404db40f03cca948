import {CALL_CODES, MeshError} from '@verbenabeam/core';
import type {ResultCode} from '@verbenabeam/core';
import {UPSTREAM_STATES} from '@verbenabeam/membership';
import {fingerprintOf} from '@verbenabeam/routing';
import type {CallHead, ResponseTrailer} from './call-head.js';
import type {ServingBody} from './serving-body.js';
import type {ServingTimes} from './serving-log.js';
import type {
  AdmissionPort,
  AdmissionRequest,
  OwnUpstream,
} from './serving-ports.js';

/**
 * Retry delay for a request that the upstream refused although it had free
 * slots, in ms. It is short because no queue has to empty first.
 */
const shedRetryAfterMs = 20;

/** Builds the admission request of a call. @internal */
export function admissionRequestOf(
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

/** Fingerprint of a call and the buffered part of its body. @internal */
export function fingerprintOfCall(
  {service, method, path}: CallHead,
  body: ServingBody,
): string {
  return fingerprintOf({service, method, path, body: body.bufferedBytes});
}

/** Returns why the upstream of this node can't take a call now. @internal */
export function refusalCodeFor(
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

/** Creates the error for a refused call. @internal */
export function errorFor(code: ResultCode): MeshError {
  const isShed = code === CALL_CODES.upstreamShed;
  const details = isShed ? {retryAfterMs: shedRetryAfterMs} : {};
  return new MeshError(code, code.text, details);
}

/** Builds the last message of a response. @internal */
export function trailerOf(
  {callId, routeName}: CallHead,
  bodyBytes: number,
  admission: AdmissionPort,
): ResponseTrailer {
  const isSubCall = admission.isSubCall(routeName);
  return {callId, bodyBytes, load: admission.load(), isSubCall};
}
