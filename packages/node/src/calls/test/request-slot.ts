import {systemClock} from '@verbenabeam/core';
import type {AdmissionDecision, AdmissionPort} from '../serving-ports.js';

const deadlineMs = 1_000;

/** Asks for a slot for a call with a second left. */
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
