import type {IncomingMessage} from 'node:http';

/** Default size of the largest body that is kept for retries. @internal */
export const REPLAY_LIMIT_BYTES = 65_536;

/** Size limits of a request body. @internal */
export interface BodyLimits {
  /** Largest body that is kept for retries. */
  readonly maxKeptBytes: number;
  /** Largest body that is allowed. */
  readonly maxBytes: number;
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
 * @internal
 */
export class ReplayBody {
  readonly #req: IncomingMessage;
  readonly #limits: BodyLimits;
  #kept: Buffer[] | null = [];
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
    let more = true;
    for (const chunk of this.#kept ?? []) more = sink.write(chunk);
    if (this.#ended) sink.end();
    else if (more || this.#readsAhead) this.#req.resume();
    else this.#req.pause();
  }

  /** Stops writing to an attempt that has ended. */
  detach(): void {
    this.#sink = null;
  }

  /** Resumes reading when the attempt can take bytes again. */
  resume(): void {
    this.#req.resume();
  }

  /**
   * Reads and drops the rest of the body. Unread bytes would block the connection
   * for the next call of the caller.
   */
  discard(): void {
    this.#discarded = true;
    this.#kept = null;
    this.#sink = null;
    if (!this.#ended) this.#req.resume();
  }

  /**
   * Whether reading continues while no attempt takes bytes. The node sees the end
   * of the caller's connection only after the body, so a kept body is read to its
   * end.
   */
  get #readsAhead(): boolean {
    return this.replayable && this.#size <= this.#limits.maxKeptBytes;
  }

  #onData(chunk: Buffer): void {
    if (this.#discarded) return;
    this.#size += chunk.length;
    const {maxKeptBytes, maxBytes, onTooLarge} = this.#limits;
    if (this.#size > maxBytes) {
      onTooLarge();
      return;
    }
    const exceedsLimit = this.#size > maxKeptBytes;
    if (exceedsLimit && this.#sink) this.#kept = null;
    else this.#kept?.push(chunk);
    const isTaken = this.#sink?.write(chunk) ?? !exceedsLimit;
    if (!isTaken && !this.#readsAhead) this.#req.pause();
  }

  #onEnd(): void {
    this.#ended = true;
    this.#sink?.end();
    this.#onComplete?.();
  }
}
