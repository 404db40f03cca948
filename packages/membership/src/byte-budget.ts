/** Token bucket of bytes; a node spends it on records of the table. @internal */
export class ByteBudget {
  readonly #perSecond: number;
  readonly #most: number;
  #bytes: number;
  #filledAt = 0;

  /** @param most - Bytes that can be saved up. */
  constructor(perSecond: number, most: number) {
    this.#perSecond = perSecond;
    this.#most = most;
    this.#bytes = most;
  }

  /**
   * Takes up to `count` items of one size and returns how many it granted.
   *
   * @param reserve - Share of the bucket that is left to other uses.
   */
  take(count: number, bytesEach: number, now: number, reserve = 0): number {
    const seconds = Math.max(0, now - this.#filledAt) / 1000;
    this.#filledAt = now;
    const filled = this.#bytes + seconds * this.#perSecond;
    this.#bytes = Math.min(this.#most, filled);
    const free = Math.max(0, this.#bytes - reserve * this.#most);
    const granted = Math.min(count, Math.floor(free / bytesEach));
    this.#bytes -= granted * bytesEach;
    return granted;
  }
}
