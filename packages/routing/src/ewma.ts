/**
 * Exponentially weighted moving average with separate weights for samples above
 * and below it. The first sample replaces the initial value.
 *
 * @internal
 */
export class Ewma {
  readonly #rise: number;
  readonly #fall: number;
  #value: number;
  #count = 0;

  constructor(initial: number, rise: number, fall = rise) {
    this.#value = initial;
    this.#rise = rise;
    this.#fall = fall;
  }

  get value(): number {
    return this.#value;
  }

  get count(): number {
    return this.#count;
  }

  /** Replaces the average, for example after it has decayed with time. */
  reset(value: number): void {
    this.#value = value;
  }

  add(sample: number): void {
    const weight = sample > this.#value ? this.#rise : this.#fall;
    const first = this.#count === 0;
    this.#value = first
      ? sample
      : this.#value + weight * (sample - this.#value);
    this.#count++;
  }
}
