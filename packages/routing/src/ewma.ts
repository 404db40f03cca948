/**
 * Exponentially weighted moving average with separate weights for samples above
 * and below it. The first sample replaces the initial value.
 *
 * @internal
 */
export class Ewma {
  readonly #riseWeight: number;
  readonly #fallWeight: number;
  #value: number;
  #count = 0;

  constructor(initial: number, riseWeight: number, fallWeight = riseWeight) {
    this.#value = initial;
    this.#riseWeight = riseWeight;
    this.#fallWeight = fallWeight;
  }

  get value(): number {
    return this.#value;
  }

  get count(): number {
    return this.#count;
  }

  /**
   * Replaces the average and keeps the sample count, for example when the caller
   * lets the average decay with time.
   */
  reset(value: number): void {
    this.#value = value;
  }

  add(sample: number): void {
    const weight = sample > this.#value ? this.#riseWeight : this.#fallWeight;
    const first = this.#count === 0;
    this.#value = first
      ? sample
      : this.#value + weight * (sample - this.#value);
    this.#count++;
  }
}
