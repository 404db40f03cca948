import {FIRST_STREAM_BYTES} from '@verbenabeam/wire';
import type {ByteStream} from '@verbenabeam/wire';
import {UpstreamBody} from './upstream-body.js';

const noBody = Buffer.alloc(0);

/**
 * Request body on the serving side. A small one is collected before the call
 * enters, so that a slow one holds no slot; a large one is passed on while it
 * arrives.
 *
 * @internal
 */
export class ServingBody {
  readonly #passed: UpstreamBody | null;
  readonly #isEmpty: boolean;
  /** Bytes of a collected body that the entry side may send once allowed. */
  readonly aheadBytes: number;
  /** Bytes that a collected body may still bring. */
  #collectable: number;
  #pieces: Uint8Array[] = [];
  #whole: Buffer | null = null;

  /**
   * @param bodyBytes - 0: no body; null: not known in advance.
   * @param collectBytes - Bodies up to this many bytes are collected.
   */
  constructor(
    bodyBytes: number | null,
    stream: ByteStream,
    collectBytes: number,
  ) {
    const isLarge = bodyBytes === null || bodyBytes > collectBytes;
    this.#passed = isLarge ? new UpstreamBody(stream) : null;
    this.#isEmpty = bodyBytes === 0;
    this.#collectable = isLarge ? Infinity : bodyBytes;
    this.aheadBytes = Math.max(0, (bodyBytes ?? 0) - FIRST_STREAM_BYTES);
  }

  /** Whether the call enters only at the end of the body. */
  get isCollected(): boolean {
    return !this.#isEmpty && !this.#passed;
  }

  /** What the upstream request gets; called once, when it is sent. */
  take(): Buffer | UpstreamBody | null {
    this.#passed?.allowMore();
    return this.#passed ?? this.#whole;
  }

  /** Bytes for the fingerprint: a body that is passed on is not covered. */
  get known(): Buffer {
    return this.#whole ?? noBody;
  }

  /** False if the body exceeds its announced length. */
  accept(chunk: Uint8Array): boolean {
    if (this.#isEmpty) return true;
    this.#collectable -= chunk.length;
    if (this.#collectable < 0) return false;
    if (this.#passed) this.#passed.accept(chunk);
    else this.#pieces.push(chunk);
    return true;
  }

  finish(): void {
    this.#passed?.finish();
    if (!this.isCollected) return;
    this.#whole = joined(this.#pieces);
    this.#pieces = [];
  }

  destroy(): void {
    this.#passed?.destroy();
  }
}

function joined(pieces: Uint8Array[]): Buffer {
  const [only] = pieces;
  if (pieces.length === 1 && Buffer.isBuffer(only)) return only;
  return Buffer.concat(pieces);
}
