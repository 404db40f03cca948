import {MeshError, WIRE_CODES} from '@verbenabeam/core';
import {LENGTH_BYTES, MAX_HANDSHAKE_FRAME_BYTES} from './frame.js';

/**
 * Cuts the bytes of a connection into frame bodies. A body that lies within one
 * read is a view of it; only a body that spans reads is copied.
 *
 * @internal
 */
export class FrameReader {
  /** Limit of a body in bytes; raised once the peer is authenticated. */
  maxBytes = MAX_HANDSHAKE_FRAME_BYTES;
  #pieces: Buffer[] = [];
  #held = 0;
  #needed = LENGTH_BYTES;

  /**
   * Takes the next bytes and calls `onBody` for each complete frame.
   *
   * @returns the error after which the connection cannot be read on, or null.
   */
  push(data: Buffer, onBody: (body: Buffer) => void): MeshError | null {
    let rest = this.#join(data);
    while (rest && rest.length >= LENGTH_BYTES) {
      const length = rest.readUInt32BE(0);
      if (length > this.maxBytes) return this.#tooLarge(length);
      const end = LENGTH_BYTES + length;
      if (rest.length < end) {
        this.#needed = end;
        break;
      }
      onBody(rest.subarray(LENGTH_BYTES, end));
      rest = rest.subarray(end);
    }
    this.#hold(rest);
    return null;
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
