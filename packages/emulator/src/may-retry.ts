import {Deadline} from '@verbenabeam/routing';
import type {EmulatedCall} from './emulated-call.js';

/** Tries of one call, as the platform's routes allow them. */
const maxTries = 2;

/** Whether a call that an instance refused is sent to another. @internal */
export function mayRetry(
  {entry, kind, deadlineAt, tried}: EmulatedCall,
  now: number,
): boolean {
  const decision = entry.retries.tryRetry(
    {
      service: kind.service,
      retriesLeft: maxTries - tried.size,
      deadline: new Deadline(deadlineAt),
      expectedMs: kind.work_ms,
      notRun: true,
      idempotent: false,
      suspect: false,
    },
    now,
  );
  return decision === 'granted';
}
