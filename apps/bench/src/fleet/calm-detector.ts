/** Windows in a row that must not fall below the lowest one before them. */
const flatWindows = 3;
/** Smaller falls than this share are noise between two windows. */
const noiseShare = 0.05;

/** Tells when a series of measured windows no longer falls. @internal */
export class CalmDetector {
  #lowest = Infinity;
  #flat = 0;

  get calm(): boolean {
    return this.#flat >= flatWindows;
  }

  /** Takes the amount of the next window. */
  add(amount: number): void {
    const falls = amount < this.#lowest * (1 - noiseShare);
    this.#flat = falls ? 0 : this.#flat + 1;
    this.#lowest = Math.min(this.#lowest, amount);
  }
}
