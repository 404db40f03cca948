const msPerSecond = 1_000;

/** Limits of a {@link StoreBudget}. @public */
export interface StoreBudgetOptions {
  /** Name of the role, for error details. */
  readonly role: string;
  /** Calls per second over a long time; a function is asked at each call. */
  readonly callsPerSecond: number | (() => number);
  /** Calls that may be made at once. Default: one second of calls. */
  readonly burst?: number;
}

/** Token bucket that limits the store calls of one role. @public */
export class StoreBudget {
  readonly role: string;
  readonly #perSecond: () => number;
  readonly #burst: number | undefined;
  #tokens: number;
  #updatedAt: number | null = null;

  constructor(options: StoreBudgetOptions) {
    this.role = options.role;
    const {callsPerSecond, burst} = options;
    this.#perSecond =
      typeof callsPerSecond === 'number'
        ? () => callsPerSecond
        : callsPerSecond;
    this.#burst = burst;
    this.#tokens = burst ?? this.#perSecond();
  }

  /** Takes one call from the budget; false means that none is left. */
  tryTake(now: number): boolean {
    const elapsedMs = now - (this.#updatedAt ?? now);
    this.#updatedAt = now;
    const perSecond = this.#perSecond();
    this.#tokens = Math.min(
      this.#burst ?? perSecond,
      this.#tokens + (elapsedMs * perSecond) / msPerSecond,
    );
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
