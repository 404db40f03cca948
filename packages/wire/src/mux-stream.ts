import type {MeshError} from '@verbenabeam/core';
import {ChunkList} from './chunk-list.js';
import {FRAME_TYPES} from './frame.js';
import type {Frame} from './frame.js';
import type {ByteStream, StreamListener} from './peer-bus.js';

/** The connection as its streams use it. @internal */
export interface StreamLink {
  send(frame: Frame): void;
  sendChunk(streamId: number, bytes: Uint8Array): void;
  /** Called when neither side sends more on the stream. */
  forget(streamId: number): void;
}

/** How a stream begins. @internal */
export interface StreamStart {
  /** Whether the other side opened the stream. */
  readonly isAnswering: boolean;
  /** Bytes that the other side may send. */
  readonly windowBytes: number;
  /** Bytes that this side may send. */
  readonly creditBytes: number;
  /** Time for which the first frame was on its way or unread, in ms. */
  readonly ageMs: number;
}

type StreamEvent = (listener: StreamListener) => void;

/**
 * Bytes that the side which opens a stream may send before the other side allows
 * more: a stream that is refused by its first frame costs no more than these.
 *
 * @public
 */
export const FIRST_STREAM_BYTES = 65_536;
/** Larger writes are split, so that other streams get their turn. */
const maxChunkBytes = 65_536;
/** Credit is returned in steps of this share of the window. */
const creditStepShare = 0.25;

/**
 * One stream on a connection. Events wait until a listener is set and while the
 * stream is paused.
 *
 * @internal
 */
export class MuxStream implements ByteStream {
  readonly id: number;
  readonly ageMs: number;
  readonly #link: StreamLink;
  readonly #isAnswering: boolean;
  readonly #creditStep: number;
  #listener: StreamListener | null = null;
  #paused = false;
  #delivering = false;
  /** Chunks in a row are one entry. */
  #backlog: (StreamEvent | ChunkList)[] = [];
  /** Bytes that the other side may still send. */
  #window: number;
  #consumed = 0;
  /** Bytes that this side may still send. */
  #credit: number;
  readonly #unsent = new ChunkList();
  /** Rest of a chunk that was sent in part; goes before the other unsent ones. */
  #unsentRest: Buffer | null = null;
  #wantsDrain = false;
  #ending: {trailer: unknown} | null = null;
  #sentEnd = false;
  #gotHead = false;
  #gotEnd = false;
  #closed = false;

  constructor(id: number, link: StreamLink, start: StreamStart) {
    const {isAnswering, windowBytes, creditBytes, ageMs} = start;
    this.id = id;
    this.ageMs = ageMs;
    this.#link = link;
    this.#isAnswering = isAnswering;
    this.#window = windowBytes;
    this.#credit = creditBytes;
    this.#creditStep = windowBytes * creditStepShare;
  }

  sendHead(head: unknown): void {
    if (this.#closed || this.#ending) return;
    this.#link.send([FRAME_TYPES.head, this.id, head]);
  }

  write(chunk: Uint8Array): boolean {
    if (this.#closed || this.#ending) return false;
    if (chunk.length > 0) this.#unsent.push(asBuffer(chunk));
    this.#pump();
    this.#wantsDrain = this.#credit === 0 || this.#hasUnsent;
    return !this.#wantsDrain;
  }

  end(trailer?: unknown): void {
    if (this.#closed || this.#ending) return;
    this.#ending = {trailer};
    this.#pump();
  }

  allow(bytes: number): void {
    if (this.#closed || this.#gotEnd || bytes <= 0) return;
    this.#window += bytes;
    this.#link.send([FRAME_TYPES.credit, this.id, bytes]);
  }

  reset(err: MeshError): void {
    if (this.#closed) return;
    const {code, message, details} = err;
    this.#link.send([FRAME_TYPES.reset, this.id, code.code, message, details]);
    this.#backlog = [];
    this.#close();
  }

  pause(): void {
    this.#paused = true;
  }

  resume(): void {
    this.#paused = false;
    this.#deliverBacklog();
  }

  listen(listener: StreamListener): void {
    this.#listener = listener;
    this.#deliverBacklog();
  }

  /** Takes the head that the other side sent; false if it sent one before. */
  takeHead(head: unknown): boolean {
    if (this.#gotHead || this.#gotEnd) return false;
    this.#gotHead = true;
    this.#deliver(l => l.onHead?.(head));
    return true;
  }

  /** Takes bytes; false if the other side exceeded its credit. */
  takeChunk(bytes: Buffer): boolean {
    this.#window -= bytes.length;
    if (this.#window < 0 || this.#gotEnd) return false;
    if (this.#receiver) this.#deliverChunk(this.#receiver, bytes);
    else this.#holdChunk(bytes);
    return true;
  }

  /** Takes the end of the other side; false if it ended before. */
  takeEnd(trailer: unknown): boolean {
    if (this.#gotEnd) return false;
    this.#gotEnd = true;
    this.#deliver(l => {
      l.onEnd(trailer);
    });
    this.#closeIfEnded();
    return true;
  }

  /** Takes more credit for this side. */
  takeCredit(bytes: number): void {
    this.#credit += bytes;
    this.#pump();
    if (!this.#wantsDrain || this.#hasUnsent || this.#closed) return;
    this.#wantsDrain = false;
    this.#listener?.onDrain?.();
  }

  /**
   * Takes a reset, or the loss of the connection. An answer whose end has arrived
   * is whole, so it is still delivered first; the answering side learns at once
   * that nobody waits for it.
   */
  takeReset(err: MeshError): void {
    if (this.#closed) return;
    this.#close();
    if (!this.#gotEnd || this.#isAnswering) {
      this.#backlog = [];
      this.#paused = false;
    }
    this.#deliver(l => {
      l.onReset(err);
    });
  }

  get #hasUnsent(): boolean {
    return this.#unsentRest !== null || this.#unsent.length > 0;
  }

  #pump(): void {
    while (this.#credit > 0) {
      const chunk = this.#unsentRest ?? this.#unsent.shift();
      if (!chunk) break;
      const size = Math.min(chunk.length, this.#credit, maxChunkBytes);
      this.#credit -= size;
      this.#unsentRest = size < chunk.length ? chunk.subarray(size) : null;
      this.#link.sendChunk(this.id, chunk.subarray(0, size));
    }
    if (this.#ending && !this.#sentEnd && !this.#hasUnsent) {
      this.#sentEnd = true;
      this.#link.send([FRAME_TYPES.end, this.id, this.#ending.trailer]);
      this.#closeIfEnded();
    }
  }

  #returnCredit(bytes: number): void {
    this.#consumed += bytes;
    if (this.#consumed < this.#creditStep || this.#closed) return;
    this.#window += this.#consumed;
    this.#link.send([FRAME_TYPES.credit, this.id, this.#consumed]);
    this.#consumed = 0;
  }

  /** The listener, if it gets what arrives at once. */
  get #receiver(): StreamListener | null {
    const waits = this.#paused || this.#delivering || this.#backlog.length > 0;
    return waits ? null : this.#listener;
  }

  #deliver(event: StreamEvent): void {
    if (this.#receiver) event(this.#receiver);
    else this.#backlog.push(event);
  }

  #deliverChunk(listener: StreamListener, bytes: Buffer): void {
    this.#returnCredit(bytes.length);
    listener.onChunk(bytes);
  }

  #holdChunk(bytes: Buffer): void {
    let list = this.#backlog.at(-1);
    if (!(list instanceof ChunkList)) {
      list = new ChunkList();
      this.#backlog.push(list);
    }
    list.push(bytes);
  }

  #deliverBacklog(): void {
    if (this.#delivering) return;
    this.#delivering = true;
    while (this.#listener && !this.#paused && this.#backlog.length > 0) {
      this.#takeFirst()?.(this.#listener);
    }
    this.#delivering = false;
  }

  /** Removes the first event of the backlog; of chunks in a row one. */
  #takeFirst(): StreamEvent | undefined {
    const first = this.#backlog[0];
    if (!(first instanceof ChunkList)) {
      this.#backlog.shift();
      return first;
    }
    const chunk = first.shift();
    if (first.length === 0) this.#backlog.shift();
    return chunk && (l => this.#deliverChunk(l, chunk));
  }

  #closeIfEnded(): void {
    if (this.#sentEnd && this.#gotEnd) this.#close();
  }

  #close(): void {
    if (this.#closed) return;
    this.#closed = true;
    this.#unsent.clear();
    this.#unsentRest = null;
    this.#link.forget(this.id);
  }
}

function asBuffer(bytes: Uint8Array): Buffer {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}
