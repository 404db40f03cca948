/** Limits of a {@link StoreBudget}. @public */
export interface StoreBudgetOptions {
  /** Name of the role, for error details. */
  readonly role: string;
  /** Calls per second over a long time. */
  readonly callsPerSecond: number;
  /** Calls that may be made at once. Default: one second of calls. */
  readonly burst?: number;
}

/** Token bucket that limits the store calls of one role. @public */
export class StoreBudget {
  readonly role: string;
  readonly #perMs: number;
  readonly #burst: number;
  #tokens: number;
  #updatedAt: number | null = null;

  constructor(options: StoreBudgetOptions) {
    this.role = options.role;
    this.#perMs = options.callsPerSecond / 1_000;
    this.#burst = options.burst ?? options.callsPerSecond;
    this.#tokens = this.#burst;
  }

  /** Takes one call from the budget; false means that none is left. */
  tryTake(now: number): boolean {
    const elapsedMs = now - (this.#updatedAt ?? now);
    this.#updatedAt = now;
    this.#tokens = Math.min(
      this.#burst,
      this.#tokens + elapsedMs * this.#perMs,
    );
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
