/**
 * Exponentially weighted mean with separate weights for rising and falling
 * samples. The first sample is taken as it is.
 *
 * @internal
 */
export class Smoothed {
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

  /** Replaces the mean, for one that has lost its value with time. */
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
