/** Bytes of request bodies that a node holds for calls that wait, all calls together. */
const defaultMaxBytes = 16_777_216;

/**
 * Memory for the parts of request bodies that no instance takes yet. A node that
 * stops reading a caller's connection does not see its end, so it reads on while
 * this budget lasts.
 *
 * @internal
 */
export class ReadAheadBudget {
  readonly #maxBytes: number;
  #usedBytes = 0;

  constructor(maxBytes = defaultMaxBytes) {
    this.#maxBytes = maxBytes;
  }

  /** Whether calls may read more. */
  get hasRoom(): boolean {
    return this.#usedBytes < this.#maxBytes;
  }

  /** Records bytes that were read; the last chunk may exceed the limit. */
  take(bytes: number): void {
    this.#usedBytes += bytes;
  }

  /** Returns the bytes of chunks that were sent or dropped. */
  release(bytes: number): void {
    this.#usedBytes -= bytes;
  }
}
