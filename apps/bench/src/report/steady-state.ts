/** A smaller fall is noise between two windows. */
const noiseShare = 0.05;
const defaultWindows = 2;

/** Tells when a series of measured windows no longer falls. @internal */
export class SteadyState {
  readonly #windows: number;
  #lowest = Infinity;
  #flat = 0;

  /** @param windows - Windows in a row that must not fall. Default 2. */
  constructor(windows = defaultWindows) {
    this.#windows = windows;
  }

  /** Whether the last windows did not fall below the lowest before them. */
  get reached(): boolean {
    return this.#flat >= this.#windows;
  }

  /** Takes the amount of the next window, in any unit. */
  add(amount: number): void {
    const falls = amount < this.#lowest * (1 - noiseShare);
    this.#flat = falls ? 0 : this.#flat + 1;
    this.#lowest = Math.min(this.#lowest, amount);
  }
}
