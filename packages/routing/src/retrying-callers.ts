import {ExpiringMap} from './expiring-map.js';

/** Maximum number of failed calls kept. */
const maxFailedCalls = 5_000;
/** Time for which a failed call is kept, in ms; callers retry sooner. */
const retentionMs = 10_000;
/**
 * Largest difference between the deadlines of two attempts of one call, in ms.
 * Callers send the remaining time, so network delays shift the deadline.
 */
const deadlineToleranceMs = 50;

/** One attempt of a caller; times in ms on one clock. @public */
export interface CallerAttempt {
  /** Host and path, which all attempts of a call share. */
  readonly key: string;
  /** Deadline of the caller. */
  readonly endsAt: number;
}

interface FailedCall {
  readonly endsAt: number;
  readonly firstAt: number;
}

/**
 * Recognises calls that a caller retries after a refusal or a failure. A call
 * with the same path and deadline as a failed call counts as its retry.
 *
 * Under overload, callers retry refused calls within the remaining time. Treated
 * as new calls, the retries would seem to have the whole target time left, and
 * would take slots from calls that can still meet their target, for responses that
 * are late.
 *
 * @public
 */
export class RetryingCallers {
  readonly #failed = new ExpiringMap<FailedCall>(maxFailedCalls, retentionMs);

  /** Time since the first attempt of the call, in ms; 0 for a new call. */
  msSinceFirstAttempt({key, endsAt}: CallerAttempt, now: number): number {
    const known = this.#failed.get(key, now);
    if (!known || Math.abs(known.endsAt - endsAt) > deadlineToleranceMs)
      return 0;
    return Math.max(0, now - known.firstAt);
  }

  /** Records an attempt that failed or was refused; its caller may retry. */
  recordFailure(
    {key, endsAt}: CallerAttempt,
    firstAt: number,
    now: number,
  ): void {
    // Without a deadline, calls of different callers cannot be distinguished.
    if (endsAt === Infinity || endsAt <= now) return;
    this.#failed.set(key, {endsAt, firstAt}, now);
  }
}
