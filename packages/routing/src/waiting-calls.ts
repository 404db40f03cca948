import type {AdmissionCall, AdmissionDecision} from './admission-types.js';

/** Removes a call that waits; false if it does not wait here. @internal */
export function cancelWaiting(queue: AdmissionCall[], callId: string): boolean {
  const index = queue.findIndex(({id}) => id === callId);
  if (index < 0) return false;
  queue.splice(index, 1);
  return true;
}

/**
 * Removes the calls whose last start has come, newest first, and refuses each.
 *
 * @internal
 */
export function expireWaiting<T extends AdmissionCall>(
  queue: T[],
  now: number,
  lastStart: (call: T) => number,
  refuse: (call: T) => AdmissionDecision,
): AdmissionDecision[] {
  const decisions: AdmissionDecision[] = [];
  for (let i = queue.length - 1; i >= 0; i--) {
    const call = queue[i];
    if (!call || lastStart(call) > now) continue;
    queue.splice(i, 1);
    decisions.push(refuse(call));
  }
  return decisions;
}
