import {MeshError, WIRE_CODES} from '@verbenabeam/core';
import {decodeChunk} from './chunk-frame.js';
import {LENGTH_BYTES, MAX_HANDSHAKE_FRAME_BYTES} from './frame.js';

/** Takes what a {@link FrameReader} cuts out. @internal */
export interface FrameParts {
  /** A whole frame body that is not a chunk. */
  onBody(body: Buffer): void;
  /** A chunk, or the part of one that has arrived. */
  onChunk(streamId: number, bytes: Buffer): void;
}

/** A chunk frame of which bytes are missing. */
interface OpenChunk {
  readonly streamId: number;
  missing: number;
}

/**
 * Cuts the bytes of a connection into frame bodies. Chunks are views of the
 * reads and are passed on in the parts that arrive: with a copy of those that
 * span reads, calls with bodies of 64 KB caused one and a half times as many
 * full garbage collections. Only other frames that span reads are copied.
 *
 * @internal
 */
export class FrameReader {
  /** Limit of a body in bytes; raised once the peer is authenticated. */
  maxBytes = MAX_HANDSHAKE_FRAME_BYTES;
  readonly #parts: FrameParts;
  #pieces: Buffer[] = [];
  #held = 0;
  #needed = LENGTH_BYTES;
  #open: OpenChunk | null = null;

  constructor(parts: FrameParts) {
    this.#parts = parts;
  }

  /**
   * Takes the next bytes and passes on what is complete.
   *
   * @returns the error after which the connection cannot be read on, or null.
   */
  push(data: Buffer): MeshError | null {
    let rest = this.#join(this.#continueChunk(data));
    while (rest && rest.length >= LENGTH_BYTES) {
      const length = rest.readUInt32BE(0);
      if (length > this.maxBytes) return this.#tooLarge(length);
      const end = LENGTH_BYTES + length;
      const body: Buffer = rest.subarray(LENGTH_BYTES, end);
      const chunk = decodeChunk(body, length);
      if (chunk) {
        const missing = length - body.length;
        if (missing > 0) this.#open = {streamId: chunk.streamId, missing};
        const {streamId, bytes} = chunk;
        if (bytes.length > 0) this.#parts.onChunk(streamId, bytes);
      } else if (body.length === length) {
        this.#parts.onBody(body);
      } else {
        this.#needed = end;
        break;
      }
      rest = rest.subarray(end);
    }
    this.#hold(rest);
    return null;
  }

  /** Passes on the bytes of a chunk that began before; returns the rest. */
  #continueChunk(data: Buffer): Buffer {
    const open = this.#open;
    if (!open) return data;
    const bytes = data.subarray(0, open.missing);
    open.missing -= bytes.length;
    if (open.missing === 0) this.#open = null;
    this.#parts.onChunk(open.streamId, bytes);
    return data.subarray(bytes.length);
  }

  /** Adds to the held bytes; null while the frame is known to be partial. */
  #join(data: Buffer): Buffer | null {
    if (this.#held === 0) return data;
    this.#pieces.push(data);
    this.#held += data.length;
    if (this.#held < this.#needed) return null;
    const all = Buffer.concat(this.#pieces, this.#held);
    this.#pieces = [];
    this.#held = 0;
    this.#needed = LENGTH_BYTES;
    return all;
  }

  #hold(rest: Buffer | null): void {
    if (!rest || rest.length === 0) return;
    this.#pieces.push(rest);
    this.#held = rest.length;
  }

  #tooLarge(length: number): MeshError {
    return new MeshError(
      WIRE_CODES.frameTooLarge,
      `A frame of ${length} bytes exceeds the limit of ${this.maxBytes}`,
    );
  }
}
