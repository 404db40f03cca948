import {ChunkList, smallChunkBytes} from '@verbenabeam/wire';

/** Takes what a {@link PartJoiner} passes on. @internal */
export interface PartJoinerOptions {
  /** Returns false to pause. */
  readonly write: (part: Buffer) => boolean;
  /** Called when parts may follow again, after `push` returned false. */
  readonly onOpen: () => void;
}

/**
 * Joins the small parts of a body that one read brings. Each part that waits costs
 * about 200 bytes, so that a body in chunks of one byte would take 200 times its length.
 *
 * @internal
 */
export class PartJoiner {
  readonly #options: PartJoinerOptions;
  readonly #waiting = new ChunkList();
  #isScheduled = false;
  #isBlocked = false;

  constructor(options: PartJoinerOptions) {
    this.#options = options;
  }

  /** Returns false to pause until `onOpen` is called or the receiver resumes. */
  push(part: Buffer): boolean {
    this.#waiting.push(part);
    if (part.length >= smallChunkBytes) this.flush();
    else this.#schedule();
    // Parts join only the last one.
    while (this.#waiting.length > 1) this.#writeNext();
    return !this.#isBlocked;
  }

  /** Passes on what was not passed on yet. */
  flush(): void {
    while (this.#waiting.length > 0) this.#writeNext();
  }

  /** Drops what was not passed on yet. */
  drop(): void {
    this.#waiting.clear();
  }

  /** The receiver takes parts again. */
  unblock(): void {
    this.#isBlocked = false;
  }

  #writeNext(): void {
    const part = this.#waiting.shift();
    if (part) this.#isBlocked = !this.#options.write(part);
  }

  /** All parts of a read come in one turn. */
  #schedule(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    queueMicrotask(() => {
      this.#isScheduled = false;
      const wasBlocked = this.#isBlocked;
      this.flush();
      if (wasBlocked && !this.#isBlocked) this.#options.onOpen();
    });
  }
}
