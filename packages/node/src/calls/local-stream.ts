import type {MeshError} from '@verbenabeam/core';
import type {ByteStream, StreamListener} from '@verbenabeam/wire';

type StreamEvent = (listener: StreamListener) => void;

/**
 * Creates the two ends of an in-process stream, for calls from this node to its
 * own upstream. Events are delivered synchronously.
 *
 * @internal
 */
export function localStreamPair(): [ByteStream, ByteStream] {
  const opening = new LocalStream(false);
  const answering = new LocalStream(true);
  opening.connect(answering);
  answering.connect(opening);
  return [opening, answering];
}

class LocalStream implements ByteStream {
  readonly ageMs = 0;
  /** Whether the other end opened the stream. */
  readonly #isAnswering: boolean;
  #other: LocalStream | null = null;
  #listener: StreamListener | null = null;
  #paused = false;
  #delivering = false;
  #backlog: StreamEvent[] = [];
  #ended = false;
  #gotEnd = false;
  #needsDrain = false;
  #closed = false;

  constructor(isAnswering: boolean) {
    this.#isAnswering = isAnswering;
  }

  connect(other: LocalStream): void {
    this.#other = other;
  }

  sendHead(head: unknown): void {
    if (this.#closed || this.#ended) return;
    this.#other?.take(l => l.onHead?.(head));
  }

  write(chunk: Uint8Array): boolean {
    if (this.#closed || this.#ended) return false;
    this.#other?.take(l => {
      l.onChunk(chunk);
    });
    this.#needsDrain = !this.#other?.flowing;
    return !this.#needsDrain;
  }

  allow(): void {
    // An in-process stream needs no flow control credit.
  }

  end(trailer?: unknown): void {
    if (this.#closed || this.#ended) return;
    this.#ended = true;
    this.#other?.takeEnd(trailer);
    this.#closeIfEnded();
  }

  reset(err: MeshError): void {
    if (this.#closed) return;
    this.#closed = true;
    this.#backlog = [];
    this.#other?.takeReset(err);
  }

  pause(): void {
    this.#paused = true;
  }

  resume(): void {
    this.#paused = false;
    this.#deliver();
  }

  listen(listener: StreamListener): void {
    this.#listener = listener;
    this.#deliver();
  }

  /** Whether events for this end are delivered immediately. */
  get flowing(): boolean {
    return !this.#paused && this.#listener !== null;
  }

  take(event: StreamEvent): void {
    if (this.#closed) return;
    this.#backlog.push(event);
    this.#deliver();
  }

  takeEnd(trailer: unknown): void {
    this.#gotEnd = true;
    this.take(l => {
      l.onEnd(trailer);
    });
    this.#closeIfEnded();
  }

  takeReset(err: MeshError): void {
    if (this.#closed) return;
    this.#closed = true;
    // On the responding end a reset means that the requesting end no longer waits
    // for the response, so undelivered events are dropped.
    if (!this.#gotEnd || this.#isAnswering) {
      this.#backlog = [];
      this.#paused = false;
    }
    this.#backlog.push(l => {
      l.onReset(err);
    });
    this.#deliver();
  }

  drained(): void {
    if (this.#closed || !this.#needsDrain) return;
    this.#needsDrain = false;
    this.#listener?.onDrain?.();
  }

  #deliver(): void {
    if (this.#delivering) return;
    this.#delivering = true;
    while (this.#listener && !this.#paused && this.#backlog.length > 0) {
      this.#backlog.shift()?.(this.#listener);
    }
    this.#delivering = false;
    if (this.flowing) this.#other?.drained();
  }

  #closeIfEnded(): void {
    if (this.#ended && this.#gotEnd) this.#closed = true;
  }
}
