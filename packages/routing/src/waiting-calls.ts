import type {AdmissionCall, AdmissionDecision} from './admission-types.js';

/** Removes a queued call; false if the call is not in the queue. @internal */
export function cancelWaiting(queue: AdmissionCall[], callId: string): boolean {
  const index = queue.findIndex(({id}) => id === callId);
  if (index < 0) return false;
  queue.splice(index, 1);
  return true;
}

/**
 * Removes and refuses the calls whose latest start has passed, newest first.
 *
 * @internal
 */
export function expireWaiting<T extends AdmissionCall>(
  queue: T[],
  now: number,
  latestStart: (call: T) => number,
  refuse: (call: T) => AdmissionDecision,
): AdmissionDecision[] {
  const decisions: AdmissionDecision[] = [];
  for (let i = queue.length - 1; i >= 0; i--) {
    const call = queue[i];
    if (!call || latestStart(call) > now) continue;
    queue.splice(i, 1);
    decisions.push(refuse(call));
  }
  return decisions;
}
