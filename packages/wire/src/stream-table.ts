import type {MeshError} from '@verbenabeam/core';
import {FIRST_STREAM_BYTES, MuxStream} from './mux-stream.js';
import type {StreamLink, StreamStart} from './mux-stream.js';
import {cancelled, notSent} from './wire-errors.js';

/** A stream that this side opened. */
interface OpenedStream {
  readonly frameNumber: number;
  /** Stops listening to the caller's signal; null without one. */
  readonly stop: (() => void) | null;
}

/** The open streams of one connection, by id. @internal */
export class StreamTable {
  readonly #link: StreamLink;
  readonly #creditBytes: number;
  readonly #streams = new Map<number, MuxStream>();
  readonly #opened = new Map<number, OpenedStream>();

  constructor(link: StreamLink, creditBytes: number) {
    this.#link = link;
    this.#creditBytes = creditBytes;
  }

  get size(): number {
    return this.#streams.size;
  }

  has(id: number): boolean {
    return this.#streams.has(id);
  }

  /** The stream; undefined if it was reset here and frames still arrive. */
  get(id: unknown): MuxStream | undefined {
    return this.#streams.get(Number(id));
  }

  /** Adds a stream that the peer opened and that was `ageMs` on its way. */
  accept(id: number, ageMs = 0): MuxStream {
    const creditBytes = this.#creditBytes;
    return this.#add(id, {isAnswering: true, creditBytes, ageMs});
  }

  /**
   * Adds a stream that this side opened; an abort of the signal resets it.
   *
   * @param frameNumber - Number of its first frame.
   */
  open(
    id: number,
    frameNumber: number,
    signal: AbortSignal | undefined,
  ): MuxStream {
    const creditBytes = Math.min(FIRST_STREAM_BYTES, this.#creditBytes);
    const stream = this.#add(id, {isAnswering: false, creditBytes, ageMs: 0});
    const stop = signal ? resetOnAbort(stream, signal) : null;
    this.#opened.set(id, {frameNumber, stop});
    return stream;
  }

  forget(id: number): void {
    this.#streams.delete(id);
    this.#opened.get(id)?.stop?.();
    this.#opened.delete(id);
  }

  /**
   * Resets all streams after the connection ended with `cause`; those whose
   * first frame was not written were not sent.
   */
  resetAll(
    lost: MeshError,
    cause: MeshError,
    wasFlushed: (frameNumber: number) => boolean,
  ): void {
    for (const [id, stream] of [...this.#streams]) {
      const sent = wasFlushed(this.#opened.get(id)?.frameNumber ?? 0);
      stream.takeReset(sent ? lost : notSent(cause));
    }
  }

  #add(id: number, start: Omit<StreamStart, 'windowBytes'>): MuxStream {
    const windowBytes = this.#creditBytes;
    const stream = new MuxStream(id, this.#link, {...start, windowBytes});
    this.#streams.set(id, stream);
    return stream;
  }
}

/** Returns a function that stops listening to the signal. */
function resetOnAbort(stream: MuxStream, signal: AbortSignal): () => void {
  const abort = () => stream.reset(cancelled());
  signal.addEventListener('abort', abort, {once: true});
  return () => signal.removeEventListener('abort', abort);
}
