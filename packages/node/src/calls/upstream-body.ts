import {Readable} from 'node:stream';
import type {ByteStream} from '@verbenabeam/wire';

/** Flow control credit beyond the initial window, in bytes. */
const sendAheadBytes = 196_608;

/** A request body that is streamed to the upstream as it arrives. @internal */
export class UpstreamBody extends Readable {
  readonly #stream: ByteStream;

  constructor(stream: ByteStream) {
    super();
    this.#stream = stream;
  }

  /** Allows the entry node to send more than the initial window. */
  allowMore(): void {
    this.#stream.allow(sendAheadBytes);
  }

  /** Adds a chunk; pauses the stream if the buffer is full. */
  accept(chunk: Uint8Array): void {
    if (!this.push(chunk)) this.#stream.pause();
  }

  /** Ends the body. */
  finish(): void {
    this.push(null);
  }

  override _read(): void {
    this.#stream.resume();
  }
}
