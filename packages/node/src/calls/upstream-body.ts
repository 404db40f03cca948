import {Readable} from 'node:stream';
import type {ByteStream} from '@verbenabeam/wire';

/** Bytes beyond the first ones that may wait here for the upstream. */
const aheadBytes = 196_608;

/** A request body that is passed to the upstream while it arrives. @internal */
export class UpstreamBody extends Readable {
  readonly #stream: ByteStream;

  constructor(stream: ByteStream) {
    super();
    this.#stream = stream;
  }

  /** Lets the entry side send more than the first bytes. */
  allowMore(): void {
    this.#stream.allow(aheadBytes);
  }

  /** Accepts bytes from the entry side, which waits if too many are held. */
  accept(chunk: Uint8Array): void {
    if (!this.push(chunk)) this.#stream.pause();
  }

  /** Takes the end. */
  finish(): void {
    this.push(null);
  }

  override _read(): void {
    this.#stream.resume();
  }
}
