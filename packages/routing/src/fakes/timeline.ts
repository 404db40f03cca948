/** Resolution of the simulated clock. */
const ticksPerMs = 10;

/** Runs callbacks in the order of their simulated time. @internal */
export class Timeline {
  now = 0;
  readonly #buckets = new Map<number, (() => void)[]>();

  after(delayMs: number, run: () => void): void {
    const tick = Math.max(
      Math.round(this.now * ticksPerMs) + 1,
      Math.round((this.now + delayMs) * ticksPerMs),
    );
    const bucket = this.#buckets.get(tick);
    if (bucket) bucket.push(run);
    else this.#buckets.set(tick, [run]);
  }

  runUntil(endMs: number): void {
    const endTick = endMs * ticksPerMs;
    for (let t = Math.round(this.now * ticksPerMs); t <= endTick; t++) {
      const bucket = this.#buckets.get(t);
      if (!bucket) continue;
      this.now = t / ticksPerMs;
      for (const run of bucket) run();
      this.#buckets.delete(t);
    }
  }
}
