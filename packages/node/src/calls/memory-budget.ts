/**
 * Memory that all calls of a node share for bytes that wait.
 *
 * @internal
 */
export class MemoryBudget {
  readonly #maxBytes: number;
  #usedBytes = 0;

  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  get usedBytes(): number {
    return this.#usedBytes;
  }

  /** Whether calls may hold more. */
  get hasRoom(): boolean {
    return this.#usedBytes < this.#maxBytes;
  }

  /** Records bytes that are held; the last chunk may exceed the limit. */
  take(bytes: number): void {
    this.#usedBytes += bytes;
  }

  /** Returns bytes that were sent or dropped. */
  release(bytes: number): void {
    this.#usedBytes -= bytes;
  }
}
