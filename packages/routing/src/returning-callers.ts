import {ExpiringMap} from './expiring-map.js';

/** Failed calls that are remembered. */
const maxFailed = 5_000;
/** Callers return sooner than this, in ms. */
const rememberedMs = 10_000;
/** Two attempts of a caller show the same end of its time, but for links, in ms. */
const sameEndMs = 50;

/** An attempt of a caller; times in ms on one clock. @public */
export interface CallerAttempt {
  /** What is the same in all attempts: host and path. */
  readonly key: string;
  /** End of the caller's time. */
  readonly endsAt: number;
}

interface Failed {
  readonly endsAt: number;
  readonly firstAt: number;
}

/**
 * Knows the callers that return after a refusal or a failure. Load pattern: an
 * overload in which refused callers return with what is left of their time. Taken
 * for new calls they seem to have the whole target time before them, and take the
 * slots of calls that can be on time, for answers that come late. A call with the
 * path of one that failed and the same end of its time is the same caller's.
 *
 * @public
 */
export class RetryingCallers {
  readonly #failed = new ExpiringMap<Failed>(maxFailed, rememberedMs);

  /** Time since the first attempt of the caller, in ms; 0 for a new caller. */
  msSinceFirstAttempt({key, endsAt}: CallerAttempt, now: number): number {
    const known = this.#failed.get(key, now);
    if (!known || Math.abs(known.endsAt - endsAt) > sameEndMs) return 0;
    return Math.max(0, now - known.firstAt);
  }

  /** Notes an attempt that was not answered; its caller may return. */
  recordFailure(
    {key, endsAt}: CallerAttempt,
    firstAt: number,
    now: number,
  ): void {
    // Callers without a time limit cannot be told from one another.
    if (endsAt === Infinity || endsAt <= now) return;
    this.#failed.set(key, {endsAt, firstAt}, now);
  }
}
