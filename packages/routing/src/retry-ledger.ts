/** Settings of {@link RetryAllowances}. @public */
export interface RetryAllowancesOptions {
  /** Calls kept at most; the oldest is dropped; default 4,096. */
  readonly maxCalls?: number;
}

const defaultMaxCalls = 4096;

/**
 * Shares the retries of one call among all calls that the upstream makes for
 * it. A sub-call borrows all retries that are left and gives back what it did
 * not use, so the retries of a whole call tree never exceed those of its root.
 *
 * The serving node opens an entry when it passes a call to its upstream; the
 * entry side of the same node lends from it by the call id that the upstream
 * repeats. The rest is reported to the calling node in `vb-retries-left` of
 * the response.
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

  /** Notes the retries that arrived with a call. */
  open(callId: string, retriesLeft: number): void {
    if (this.#left.size >= this.#maxCalls) {
      const [oldest] = this.#left.keys();
      if (oldest !== undefined) this.#left.delete(oldest);
    }
    this.#left.set(callId, retriesLeft);
  }

  /**
   * Takes all retries that are left for a sub-call. A call that is unknown
   * here comes from outside the mesh and has `fallback` retries.
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

  /** Ends a call and returns its unused retries for the response. */
  close(callId: string): number {
    const left = this.#left.get(callId) ?? 0;
    this.#left.delete(callId);
    return left;
  }
}

/**
 * Retries that remain after an attempt. A refusal used none. An answer without
 * a report counts as having used all, so that a lost answer cannot multiply
 * retries over the levels of a call chain.
 *
 * @param passed - Retries that were passed with the attempt.
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
