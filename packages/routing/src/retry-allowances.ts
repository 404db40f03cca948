/** Settings of {@link RetryAllowances}. @public */
export interface RetryAllowancesOptions {
  /** Maximum number of calls; the oldest is dropped first; default 4,096. */
  readonly maxCalls?: number;
}

const defaultMaxCalls = 4096;

/**
 * Shares the retries of one call among all sub-calls that the upstream makes for
 * it. A sub-call takes all retries that are left and returns the unused ones, so
 * a whole call tree never uses more retries than its root call was given.
 *
 * The serving node opens an entry when it passes a call to its upstream. The
 * upstream repeats the call id on its sub-calls, and the entry side of the same
 * node takes their retries from that entry. The response reports the remaining
 * retries to the calling node in `vb-retries-left`.
 *
 * @public
 */
export class RetryAllowances {
  readonly #left = new Map<string, number>();
  readonly #maxCalls: number;

  constructor(options: RetryAllowancesOptions = {}) {
    this.#maxCalls = options.maxCalls ?? defaultMaxCalls;
  }

  get size(): number {
    return this.#left.size;
  }

  /** Stores the retries that were passed with a call. */
  open(callId: string, retriesLeft: number): void {
    if (this.#left.size >= this.#maxCalls) {
      const [oldest] = this.#left.keys();
      if (oldest !== undefined) this.#left.delete(oldest);
    }
    this.#left.set(callId, retriesLeft);
  }

  /**
   * Takes all remaining retries of a call for one of its sub-calls. A call that
   * has no entry comes from outside the mesh and has `fallback` retries.
   */
  takeAll(callId: string, fallback: number): number {
    const left = this.#left.get(callId);
    if (left === undefined) return fallback;
    this.#left.set(callId, 0);
    return left;
  }

  /** Returns the unused retries of a sub-call. */
  returnUnused(callId: string, unused: number): void {
    const left = this.#left.get(callId);
    if (left !== undefined) this.#left.set(callId, left + unused);
  }

  /** Ends a call; the result is its unused retries, for the response. */
  close(callId: string): number {
    const left = this.#left.get(callId) ?? 0;
    this.#left.delete(callId);
    return left;
  }
}

/**
 * Retries left after an attempt. A refused attempt has used none. A missing
 * report counts as all used, so that a lost response cannot multiply retries over
 * the levels of a call chain.
 *
 * @param passed - Retries passed with the attempt.
 * @param reported - Value of `vb-retries-left` on the response, if any.
 * @public
 */
export function retriesAfter(
  passed: number,
  notRun: boolean,
  reported: number | undefined,
): number {
  if (notRun) return passed;
  if (reported === undefined) return 0;
  return Math.max(0, Math.min(passed, reported));
}
