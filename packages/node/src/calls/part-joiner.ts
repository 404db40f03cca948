/** Parts of at least this many bytes are passed on as they are. */
const smallPartBytes = 1_024;
/** Small parts are joined up to about this many bytes. */
const joinedBytes = 4_096;

/** Shorter parts are copied faster by byte. */
const shortBytes = 32;

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
  /** The only part that waits. */
  #first: Buffer | null = null;
  /** Holds the parts that wait, once there are two. */
  #block: Buffer | null = null;
  #bytes = 0;
  #isScheduled = false;
  #isBlocked = false;

  constructor(options: PartJoinerOptions) {
    this.#options = options;
  }

  /** Returns false to pause until `onOpen` is called or the receiver resumes. */
  push(part: Buffer): boolean {
    if (part.length >= smallPartBytes) {
      this.flush();
      this.#write(part);
    } else {
      this.#add(part);
      if (this.#bytes >= joinedBytes) this.flush();
      else this.#schedule();
    }
    return !this.#isBlocked;
  }

  /** Passes on what was not passed on yet. */
  flush(): void {
    if (this.#bytes === 0) return;
    const joined = this.#first ?? this.#takeBlock();
    this.drop();
    this.#write(joined);
  }

  /** Drops what was not passed on yet. */
  drop(): void {
    this.#first = null;
    this.#bytes = 0;
  }

  /** The receiver takes parts again. */
  unblock(): void {
    this.#isBlocked = false;
  }

  #add(part: Buffer): void {
    if (this.#bytes === 0) this.#first = part;
    else {
      this.#block ??= Buffer.allocUnsafeSlow(joinedBytes + smallPartBytes);
      if (this.#first) copy(this.#first, this.#block, 0);
      this.#first = null;
      copy(part, this.#block, this.#bytes);
    }
    this.#bytes += part.length;
  }

  /** A block that is not full is used again. */
  #takeBlock(): Buffer {
    const block = this.#block as Buffer;
    const joined = block.subarray(0, this.#bytes);
    if (this.#bytes < joinedBytes) return Buffer.from(joined);
    this.#block = null;
    return joined;
  }

  #write(part: Buffer): void {
    this.#isBlocked = !this.#options.write(part);
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

function copy(part: Buffer, block: Buffer, at: number): void {
  if (part.length >= shortBytes) block.set(part, at);
  else for (let i = 0; i < part.length; i++) block[at + i] = part[i] as number;
}
