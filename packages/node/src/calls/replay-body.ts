import type {IncomingMessage} from 'node:http';
import {ChunkList} from '@verbenabeam/wire';
import type {MemoryBudget} from './memory-budget.js';

/** Default size of the largest body that is kept for retries. @internal */
export const REPLAY_LIMIT_BYTES = 65_536;

/** Size limits of a request body. @internal */
export interface BodyLimits {
  /** Largest body that is kept for retries. */
  readonly maxKeptBytes: number;
  /** Largest body that is allowed. */
  readonly maxBytes: number;
  /** Bytes that may be read before the attempt takes them. */
  readonly readAhead: MemoryBudget;
  /** Called when the body exceeds `maxBytes`. */
  readonly onTooLarge: () => void;
}

/** Receives the body for one attempt. @internal */
export interface BodySink {
  /** Returns false to pause until `ReplayBody.resume`. */
  write(chunk: Uint8Array): boolean;
  end(): void;
}

/**
 * The body of a request. A body up to `maxKeptBytes` (64 KB by default) is kept,
 * so that a retry can send the same bytes. A larger body is sent by one attempt only.
 *
 * The end of the caller's connection can only be read after the body, so reading
 * goes on while an attempt takes no bytes, as far as `readAhead` allows.
 *
 * @internal
 */
export class ReplayBody {
  readonly #req: IncomingMessage;
  readonly #limits: BodyLimits;
  #kept: ChunkList | null = new ChunkList();
  /** Chunks of a body that is no longer kept, not taken by the attempt yet. */
  readonly #ahead = new ChunkList();
  /** Whether the attempt takes no bytes until `resume`. */
  #isBlocked = false;
  #size = 0;
  #ended = false;
  #discarded = false;
  #sink: BodySink | null = null;
  #onComplete: (() => void) | null = null;

  constructor(req: IncomingMessage, hasBody: boolean, limits: BodyLimits) {
    this.#req = req;
    this.#limits = limits;
    if (!hasBody) {
      this.#ended = true;
      return;
    }
    req.on('data', (chunk: Buffer) => {
      this.#onData(chunk);
    });
    req.on('end', () => {
      this.#onEnd();
    });
  }

  /** Whether another attempt can send the whole body. */
  get replayable(): boolean {
    return this.#kept !== null;
  }

  /** Calls back once the whole body has been read. */
  onceComplete(callback: () => void): void {
    if (this.#ended) callback();
    else this.#onComplete = callback;
  }

  /** Writes the kept bytes, and all that follow, to an attempt. */
  attach(sink: BodySink): void {
    this.#sink = sink;
    this.#isBlocked = false;
    for (const chunk of this.#kept ?? []) this.#isBlocked = !sink.write(chunk);
    if (this.#ended) sink.end();
    else this.#pauseOrResume();
  }

  /** Stops writing to an attempt that has ended. */
  detach(): void {
    this.#sink = null;
  }

  /** Writes what was read ahead and resumes reading when the attempt can take bytes. */
  resume(): void {
    this.#isBlocked = false;
    while (!this.#isBlocked && this.#ahead.length > 0) {
      const chunk = this.#ahead.shift() as Buffer;
      this.#limits.readAhead.release(chunk.length);
      this.#isBlocked = !this.#sink?.write(chunk);
    }
    if (this.#ended && this.#ahead.length === 0) this.#sink?.end();
    else this.#pauseOrResume();
  }

  /**
   * Reads and drops the rest of the body. Unread bytes would block the connection
   * for the next call of the caller.
   */
  discard(): void {
    this.#discarded = true;
    this.#kept = null;
    this.#sink = null;
    for (const {length} of this.#ahead) this.#limits.readAhead.release(length);
    this.#ahead.clear();
    if (!this.#ended) this.#req.resume();
  }

  /** Whether reading continues while no attempt takes bytes. */
  get #readsAhead(): boolean {
    if (this.replayable && this.#size <= this.#limits.maxKeptBytes) return true;
    return this.#sink !== null && this.#limits.readAhead.hasRoom;
  }

  #pauseOrResume(): void {
    const isTaken = this.#sink !== null && !this.#isBlocked;
    if (isTaken || this.#readsAhead) this.#req.resume();
    else this.#req.pause();
  }

  #onData(chunk: Buffer): void {
    if (this.#discarded) return;
    this.#size += chunk.length;
    const {maxKeptBytes, maxBytes, onTooLarge} = this.#limits;
    if (this.#size > maxBytes) {
      onTooLarge();
      return;
    }
    if (this.#size > maxKeptBytes && this.#sink) this.#kept = null;
    this.#kept?.push(chunk);
    if (this.#kept || !this.#isBlocked) {
      if (this.#sink) this.#isBlocked = !this.#sink.write(chunk);
    } else {
      this.#ahead.push(chunk);
      this.#limits.readAhead.take(chunk.length);
    }
    this.#pauseOrResume();
  }

  #onEnd(): void {
    this.#ended = true;
    if (this.#ahead.length === 0) this.#sink?.end();
    this.#onComplete?.();
  }
}
