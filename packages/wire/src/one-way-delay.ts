/** Clocks drift apart, so a sample counts for one to two such times, in ms. */
const windowMs = 60_000;

/**
 * How much longer than the fastest frame a frame was on its way, by the sender's
 * clock. The two clocks need not agree: the least difference between them on the
 * connection stands for a frame that was read at once.
 *
 * @internal
 */
export class OneWayDelay {
  #least = Infinity;
  #leastBefore = Infinity;
  #windowEndsAt = -Infinity;

  /**
   * @param sentAt - Time at the sender, in ms; anything else counts as unknown.
   * @param readAt - Time here, in ms.
   */
  excessMs(sentAt: unknown, readAt: number): number {
    if (typeof sentAt !== 'number' || !Number.isFinite(sentAt)) return 0;
    if (readAt >= this.#windowEndsAt) this.#rotate(readAt);
    const difference = readAt - sentAt;
    this.#least = Math.min(this.#least, difference);
    return difference - Math.min(this.#least, this.#leastBefore);
  }

  #rotate(now: number): void {
    const isRecent = now < this.#windowEndsAt + windowMs;
    this.#leastBefore = isRecent ? this.#least : Infinity;
    this.#least = Infinity;
    this.#windowEndsAt = now + windowMs;
  }
}
