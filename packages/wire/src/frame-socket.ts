import type {Socket} from 'node:net';
import {MeshError, WIRE_CODES} from '@verbenabeam/core';
import {encodeChunkHeader} from './chunk-frame.js';
import {decodeFrame, encodeFrame, MAX_FRAME_BYTES} from './frame.js';
import type {Frame} from './frame.js';
import {FrameReader} from './frame-reader.js';

/** Takes what a {@link FrameSocket} reads. @internal */
export interface FrameSink {
  onFrame(frame: Frame): void;
  /** A chunk of a stream, or a part of one. */
  onChunk(streamId: number, bytes: Buffer): void;
  /** Called once, when the socket is no longer usable. */
  onClose(err: MeshError): void;
}

/** Bytes of one traffic class; shared by its connections. @internal */
export interface ByteCounter {
  sent: number;
  received: number;
}

/** Below this many bytes the frames of a callback are joined into one buffer. */
const joinLimitBytes = 16_384;

/**
 * Reads and writes frames on a socket. The frames of one event-loop callback
 * go out in one write.
 *
 * @internal
 */
export class FrameSocket {
  sink: FrameSink | null = null;
  /** Where the bytes of this socket are counted. */
  counter: ByteCounter;
  /** Time of the last read in milliseconds. */
  lastReadAt = performance.now();
  /** Bytes that were queued since the start. */
  queuedBytes = 0;
  readonly #socket: Socket;
  readonly #reader = new FrameReader({
    onBody: body => {
      this.#takeBody(body);
    },
    onChunk: (streamId, bytes) => {
      if (!this.#closed) this.sink?.onChunk(streamId, bytes);
    },
  });
  #parts: Uint8Array[] = [];
  #partBytes = 0;
  #queued = 0;
  #flushed = 0;
  #scheduled = false;
  #closed = false;

  constructor(socket: Socket, counter: ByteCounter) {
    this.#socket = socket;
    this.counter = counter;
    socket.setNoDelay(true);
    socket.on('data', data => {
      this.#read(data);
    });
    socket.on('error', err => {
      this.close(lost(err.message));
    });
    socket.on('close', () => {
      this.close(lost('The peer closed the connection'));
    });
  }

  get closed(): boolean {
    return this.#closed;
  }

  /** Bytes that are queued here and in the socket. */
  get pendingBytes(): number {
    return this.#partBytes + this.#socket.writableLength;
  }

  /** Raises the frame limit from that of the handshake. */
  allowLargeFrames(): void {
    this.#reader.maxBytes = MAX_FRAME_BYTES;
  }

  /** Queues a frame; the returned number is an argument of `wasFlushed`. */
  send(frame: Frame): number {
    return this.sendEncoded(encodeFrame(frame));
  }

  /** Queues a frame that `encodeFrame` made. */
  sendEncoded(bytes: Buffer): number {
    this.#push(bytes);
    return ++this.#queued;
  }

  /** Queues a chunk; the payload is not copied and must not change. */
  sendChunk(streamId: number, payload: Uint8Array): void {
    this.#push(encodeChunkHeader(streamId, payload.length));
    this.#push(payload);
    this.#queued++;
  }

  /** Whether a queued frame was handed to the operating system's socket. */
  wasFlushed(frameNumber: number): boolean {
    return frameNumber <= this.#flushed;
  }

  /** Writes what is queued, then ends the socket. */
  endAfterFlush(): void {
    this.#flush();
    this.#socket.end();
  }

  close(err: MeshError): void {
    if (this.#closed) return;
    this.#closed = true;
    this.#parts = [];
    this.#socket.destroy();
    this.sink?.onClose(err);
  }

  #read(data: Buffer): void {
    this.lastReadAt = performance.now();
    const err = this.#reader.push(data);
    // Counted last: a proof in these bytes decides the traffic class.
    this.counter.received += data.length;
    if (err) this.close(err);
  }

  #takeBody(body: Buffer): void {
    if (this.#closed) return;
    const frame = decodeFrame(body);
    if (frame) this.sink?.onFrame(frame);
    else this.close(undecodable(body.length));
  }

  #push(bytes: Uint8Array): void {
    if (this.#closed) return;
    this.#parts.push(bytes);
    this.#partBytes += bytes.length;
    this.queuedBytes += bytes.length;
    if (this.#scheduled) return;
    this.#scheduled = true;
    // Not setImmediate: calls waited longer behind the turn's other events. Not
    // nextTick alone: it runs before the promise callbacks in which a caller
    // continues, so the head and the body of a call left in two writes.
    process.nextTick(() => {
      queueMicrotask(() => {
        this.#scheduled = false;
        this.#flush();
      });
    });
  }

  #flush(): void {
    if (this.#closed || this.#parts.length === 0) return;
    const parts = this.#parts;
    const bytes = this.#partBytes;
    this.#parts = [];
    this.#partBytes = 0;
    this.#flushed = this.#queued;
    this.counter.sent += bytes;
    if (bytes <= joinLimitBytes && parts.length > 1) {
      this.#socket.write(Buffer.concat(parts, bytes));
      return;
    }
    this.#socket.cork();
    for (const part of parts) this.#socket.write(part);
    this.#socket.uncork();
  }
}

function lost(message: string): MeshError {
  return new MeshError(WIRE_CODES.connectionLost, message);
}

function undecodable(length: number): MeshError {
  return new MeshError(
    WIRE_CODES.undecodable,
    `A frame of ${length} bytes cannot be decoded`,
  );
}
