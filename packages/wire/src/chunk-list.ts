/** Chunks from this size on are held as they are. @public */
export const smallChunkBytes = 1_024;
const blockBytes = 4_096;

/**
 * Chunks of a body that wait, in order. Small ones in a row are joined: each object costs
 * about 200 bytes, so that a body in chunks of one byte would take 200 times its length.
 *
 * @public
 */
export class ChunkList implements Iterable<Buffer> {
  readonly #chunks: Buffer[] = [];
  /** Holds the last chunk, with room for more; null if that one is not joined. */
  #block: Buffer | null = null;

  get length(): number {
    return this.#chunks.length;
  }

  [Symbol.iterator](): Iterator<Buffer> {
    return this.#chunks[Symbol.iterator]();
  }

  push(chunk: Buffer): void {
    const last = this.#chunks.at(-1);
    if (last && this.#joins(last, chunk)) this.#join(last, chunk);
    else {
      this.#chunks.push(chunk);
      this.#block = null;
    }
  }

  shift(): Buffer | undefined {
    if (this.#chunks.length === 1) this.#block = null;
    return this.#chunks.shift();
  }

  clear(): void {
    this.#chunks.length = 0;
    this.#block = null;
  }

  #joins(last: Buffer, chunk: Buffer): boolean {
    if (chunk.length >= smallChunkBytes) return false;
    if (!this.#block) return last.length < smallChunkBytes;
    return last.length + chunk.length <= blockBytes;
  }

  /** Views that were taken from the list stay as they are. */
  #join(last: Buffer, chunk: Buffer): void {
    if (!this.#block) {
      this.#block = Buffer.allocUnsafeSlow(blockBytes);
      this.#block.set(last);
    }
    this.#block.set(chunk, last.length);
    const joined = this.#block.subarray(0, last.length + chunk.length);
    this.#chunks[this.#chunks.length - 1] = joined;
  }
}
