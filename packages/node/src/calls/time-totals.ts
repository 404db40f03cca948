/** Number of calls and the sum of their durations in ms. @public */
export interface TimeTotal {
  calls: number;
  ms: number;
}

/**
 * Sums durations by name until the totals are taken.
 *
 * @public
 */
export class TimeTotals {
  #totals = new Map<string, TimeTotal>();

  /** Whether nothing was added since the totals were last taken. */
  get isEmpty(): boolean {
    return this.#totals.size === 0;
  }

  add(name: string, ms: number): void {
    const total = this.#totals.get(name);
    if (!total) {
      this.#totals.set(name, {calls: 1, ms});
      return;
    }
    total.calls++;
    total.ms += ms;
  }

  /** Returns the totals and resets them. */
  take(): ReadonlyMap<string, TimeTotal> {
    const totals = this.#totals;
    this.#totals = new Map();
    return totals;
  }
}
