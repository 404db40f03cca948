/** Counts calls in flight and waits until none is left. @internal */
export class InFlightCounter {
  #count = 0;
  #waiting: (() => void)[] = [];

  get count(): number {
    return this.#count;
  }

  enter(): void {
    this.#count++;
  }

  leave(): void {
    this.#count--;
    if (this.#count > 0) return;
    const waiting = this.#waiting;
    this.#waiting = [];
    for (const resolve of waiting) resolve();
  }

  /** Resolves when no call is in flight. */
  whenEmpty(): Promise<void> {
    if (this.#count === 0) return Promise.resolve();
    return new Promise(resolve => this.#waiting.push(resolve));
  }
}
