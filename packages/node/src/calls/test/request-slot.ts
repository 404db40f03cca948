import {systemClock} from '@verbenabeam/core';
import type {AdmissionDecision, AdmissionPort} from '../serving-ports.js';

const deadlineMs = 1_000;

/** Requests a slot for a call with one second until its deadline. */
export function requestSlot(
  admission: AdmissionPort,
  callId: string,
): AdmissionDecision {
  const deadlineAt = systemClock.now() + deadlineMs;
  return admission.enter({
    callId,
    deadlineAt,
    route: 'files',
    priority: 0,
    targetAt: deadlineAt,
    callerClass: '',
  });
}
