/** Slots with a bounded first-in, first-out queue. @internal */
export class Slots {
  readonly #slots: number;
  readonly #queueLimit: number;
  readonly #waiting: (() => void)[] = [];
  #used = 0;

  constructor(slots: number, queueLimit: number) {
    this.#slots = slots;
    this.#queueLimit = queueLimit;
  }

  get used(): number {
    return this.#used;
  }

  get queued(): number {
    return this.#waiting.length;
  }

  /** Calls `enter` when a slot is free; false if the queue is full. */
  tryEnter(enter: () => void): boolean {
    if (this.#used < this.#slots) {
      this.#used++;
      enter();
      return true;
    }
    if (this.#waiting.length >= this.#queueLimit) return false;
    this.#waiting.push(enter);
    return true;
  }

  /** Removes a waiting request that was cancelled. */
  forget(enter: () => void): void {
    const index = this.#waiting.indexOf(enter);
    if (index >= 0) this.#waiting.splice(index, 1);
  }

  /** Frees a slot, which the next waiting request takes. */
  leave(): void {
    const next = this.#waiting.shift();
    if (next) next();
    else this.#used--;
  }
}
