import type {IncomingMessage} from 'node:http';

/** Default size up to which bodies are kept for retries. @internal */
export const REPLAY_LIMIT_BYTES = 65_536;

/** Bounds of a body. @internal */
export interface BodyLimits {
  /** Bodies up to this size are kept for retries. */
  readonly maxKeptBytes: number;
  /** Largest body. */
  readonly maxBytes: number;
  /** Called once for a body that turns out larger. */
  readonly onTooLarge: () => void;
}

/** Takes the body of one attempt. @internal */
export interface BodySink {
  /** False asks to wait for `ReplayBody.resume`. */
  write(chunk: Uint8Array): boolean;
  end(): void;
}

/**
 * The request's body. Up to 64 KB are kept, so that another attempt gets the
 * same bytes; a larger body goes to one attempt only.
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
  #target: BodySink | null = null;
  #onWhole: (() => void) | null = null;

  constructor(req: IncomingMessage, hasBody: boolean, limits: BodyLimits) {
    this.#req = req;
    this.#limits = limits;
    if (!hasBody) {
      this.#ended = true;
      return;
    }
    req.on('data', (chunk: Buffer) => {
      this.#take(chunk);
    });
    req.on('end', () => {
      this.#end();
    });
  }

  /** Whether another attempt would get all bytes. */
  get replayable(): boolean {
    return this.#kept !== null;
  }

  /** Calls back when the body has been read; at once if it has been. */
  onceComplete(callback: () => void): void {
    if (this.#ended) callback();
    else this.#onWhole = callback;
  }

  /** Sends the kept bytes and what follows to an attempt. */
  attach(target: BodySink): void {
    this.#target = target;
    let more = true;
    for (const chunk of this.#kept ?? []) more = target.write(chunk);
    if (this.#ended) target.end();
    else if (more || this.#readsOn) this.#req.resume();
    else this.#req.pause();
  }

  /** Stops sending; the attempt is over. */
  detach(): void {
    this.#target = null;
  }

  /** The attempt takes bytes again. */
  resume(): void {
    this.#req.resume();
  }

  /**
   * Reads the rest and drops it. Bytes that stay unread would block the
   * connection for the caller's next call.
   */
  discard(): void {
    this.#discarded = true;
    this.#kept = null;
    this.#target = null;
    if (!this.#ended) this.#req.resume();
  }

  /**
   * Whether bytes are read that no attempt takes yet. The end of the caller's
   * connection lies behind the body, so a kept one is read to its end.
   */
  get #readsOn(): boolean {
    return this.replayable && this.#size <= this.#limits.maxKeptBytes;
  }

  #take(chunk: Buffer): void {
    if (this.#discarded) return;
    this.#size += chunk.length;
    const {maxKeptBytes: keptBytes, maxBytes, onTooLarge} = this.#limits;
    if (this.#size > maxBytes) {
      onTooLarge();
      return;
    }
    const isLong = this.#size > keptBytes;
    if (isLong && this.#target) this.#kept = null;
    else this.#kept?.push(chunk);
    const isTaken = this.#target?.write(chunk) ?? !isLong;
    if (!isTaken && !this.#readsOn) this.#req.pause();
  }

  #end(): void {
    this.#ended = true;
    this.#target?.end();
    this.#onWhole?.();
  }
}
