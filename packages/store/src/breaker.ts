import type {RandomSource} from '@verbenabeam/core';

/** Settings of a {@link Breaker}. @public */
export interface BreakerOptions {
  /** Consecutive failures that open the breaker. Default 5. */
  readonly failureThreshold?: number;
  /** Upper bound of the first wait, in milliseconds. Default 200. */
  readonly baseMs?: number;
  /** Upper bound of every wait, in milliseconds. Default 10,000. */
  readonly maxMs?: number;
}

/** @public */
export type BreakerState = 'closed' | 'open' | 'halfOpen';

/**
 * Circuit breaker. After consecutive failures it refuses calls for a random
 * part of a doubling interval (full jitter, so that many clients do not return
 * at the same time), then admits one trial call.
 *
 * @public
 */
export class Breaker {
  readonly #threshold: number;
  readonly #baseMs: number;
  readonly #maxMs: number;
  #state: BreakerState = 'closed';
  #failures = 0;
  #openings = 0;
  #openUntil = 0;
  #trialSince: number | null = null;

  constructor(options: BreakerOptions = {}) {
    this.#threshold = options.failureThreshold ?? 5;
    this.#baseMs = options.baseMs ?? 200;
    this.#maxMs = options.maxMs ?? 10_000;
  }

  get state(): BreakerState {
    return this.#state;
  }

  /** Time at which an open breaker admits its trial call. */
  get openUntil(): number {
    return this.#openUntil;
  }

  /** True when a call may be made now. */
  allow(now: number): boolean {
    if (this.#state === 'closed') return true;
    if (this.#state === 'open') {
      if (now < this.#openUntil) return false;
      this.#state = 'halfOpen';
      this.#trialSince = null;
    }
    // A trial whose outcome was never reported must not block the breaker.
    const trialLost =
      this.#trialSince !== null && now - this.#trialSince > this.#maxMs;
    if (this.#trialSince !== null && !trialLost) return false;
    this.#trialSince = now;
    return true;
  }

  /** Reports that the store responded. */
  onSuccess(): void {
    this.#state = 'closed';
    this.#failures = 0;
    this.#openings = 0;
    this.#trialSince = null;
  }

  /** Reports that the store could not be reached or was too slow. */
  onFailure(now: number, random: RandomSource): void {
    this.#failures += 1;
    // Calls that were in flight at the opening must not extend the wait.
    if (this.#state === 'open') return;
    const opens =
      this.#state === 'halfOpen' || this.#failures >= this.#threshold;
    if (!opens) return;
    const bound = Math.min(this.#maxMs, this.#baseMs * 2 ** this.#openings);
    this.#state = 'open';
    this.#openings += 1;
    this.#openUntil = now + random.float() * bound;
  }
}
