import type {RandomSource} from '@verbenabeam/core';

/** Options of {@link FullTextCap}. @public */
export interface FullTextCapOptions {
  /** Full texts in transit at once. Default 4. */
  readonly maxAtOnce?: number;
  /** Time that one text counts as in transit, in milliseconds. Default 250. */
  readonly holdMs?: number;
  /** Width of the jitter of the retry time in milliseconds. Default 1,000. */
  readonly jitterMs?: number;
}

/**
 * Caps the full texts that a node serves at once, so that a mass restart does
 * not fill its links. A text counts for a fixed time because the wire does not
 * tell when a response has been delivered.
 *
 * @public
 */
export class FullTextCap {
  readonly #maxAtOnce: number;
  readonly #holdMs: number;
  readonly #jitterMs: number;
  #releasedAt: number[] = [];

  constructor(options: FullTextCapOptions = {}) {
    this.#maxAtOnce = options.maxAtOnce ?? 4;
    this.#holdMs = options.holdMs ?? 250;
    this.#jitterMs = options.jitterMs ?? 1_000;
  }

  /** Returns 0 and takes a slot, or the time to wait in milliseconds. */
  tryServe(now: number, random: RandomSource): number {
    this.#releasedAt = this.#releasedAt.filter(at => at > now);
    if (this.#releasedAt.length < this.#maxAtOnce) {
      this.#releasedAt.push(now + this.#holdMs);
      return 0;
    }
    const nextFree = Math.min(...this.#releasedAt) - now;
    return nextFree + random.float() * this.#jitterMs;
  }
}
