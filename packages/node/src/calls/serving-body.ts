import {FIRST_STREAM_BYTES} from '@verbenabeam/wire';
import type {ByteStream} from '@verbenabeam/wire';
import {UpstreamBody} from './upstream-body.js';

const noBody = Buffer.alloc(0);

/**
 * Request body on the serving node. A small body is buffered before the call
 * requests admission, so that a slow upload holds no slot. A large body is
 * streamed to the upstream while it arrives.
 *
 * @internal
 */
export class ServingBody {
  readonly #streamed: UpstreamBody | null;
  readonly #isEmpty: boolean;
  /** Flow control credit that a buffered body needs beyond the initial window. */
  readonly creditBytes: number;
  /** Bytes that a buffered body may still receive. */
  #remainingBytes: number;
  #chunks: Uint8Array[] = [];
  #buffered: Buffer | null = null;

  /**
   * @param bodyBytes - Announced length; 0 for no body, null if it is unknown.
   * @param maxBufferedBytes - Bodies up to this many bytes are buffered.
   */
  constructor(
    bodyBytes: number | null,
    stream: ByteStream,
    maxBufferedBytes: number,
  ) {
    const isLarge = bodyBytes === null || bodyBytes > maxBufferedBytes;
    this.#streamed = isLarge ? new UpstreamBody(stream) : null;
    this.#isEmpty = bodyBytes === 0;
    this.#remainingBytes = isLarge ? Infinity : bodyBytes;
    this.creditBytes = Math.max(0, (bodyBytes ?? 0) - FIRST_STREAM_BYTES);
  }

  /** Whether the call requests admission only once the body is complete. */
  get isBuffered(): boolean {
    return !this.#isEmpty && !this.#streamed;
  }

  /** Returns the body for the upstream request; called once, when it is sent. */
  take(): Buffer | UpstreamBody | null {
    this.#streamed?.allowMore();
    return this.#streamed ?? this.#buffered;
  }

  /** Bytes for the fingerprint, which does not cover a streamed body. */
  get bufferedBytes(): Buffer {
    return this.#buffered ?? noBody;
  }

  /** Adds a chunk; returns false if the body exceeds its announced length. */
  accept(chunk: Uint8Array): boolean {
    if (this.#isEmpty) return true;
    this.#remainingBytes -= chunk.length;
    if (this.#remainingBytes < 0) return false;
    if (this.#streamed) this.#streamed.accept(chunk);
    else this.#chunks.push(chunk);
    return true;
  }

  finish(): void {
    this.#streamed?.finish();
    if (!this.isBuffered) return;
    this.#buffered = concatChunks(this.#chunks);
    this.#chunks = [];
  }

  destroy(): void {
    this.#streamed?.destroy();
  }
}

function concatChunks(chunks: Uint8Array[]): Buffer {
  const [only] = chunks;
  if (chunks.length === 1 && Buffer.isBuffer(only)) return only;
  return Buffer.concat(chunks);
}
