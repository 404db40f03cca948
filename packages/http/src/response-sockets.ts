import type {Socket} from 'node:net';
import {buildConnector} from 'undici';
import {endedByReset} from './ended-by-reset.js';
import {ReadGate} from './read-gate.js';
import {ReadPacer} from './read-pacer.js';
import {ResponseMeter} from './response-meter.js';

/**
 * The connections of a client. Helps to tell a truncated response from a complete one:
 * undici reports a response without a length as complete when the connection is reset,
 * for which Node.js may emit `end`, and a chunked response as complete when a connection
 * without keep-alive ends. Closes connections whose responses exceed the limits of
 * {@link ResponseMeter}, and reads bodies in small parts at the pace of {@link ReadPacer}.
 */
export class ResponseSockets {
  #failing = false;
  #ending = false;
  /**
   * Of the connection that was read last: the parser runs right after a read, also
   * after one that finds nothing, when it resumes at the end of a response.
   */
  #meter: ResponseMeter | null = null;
  /** Of the same connection. */
  #gate: ReadGate | null = null;
  #exceeded = 0;
  #resetEnds = 0;
  readonly #pacer = new ReadPacer();

  /**
   * Why a response is truncated that undici reports as complete now; null if it is not.
   * A complete chunked response ends with its last chunk, not with the socket.
   */
  truncation(isChunked: boolean): Error | null {
    if (this.#failing) {
      return new Error('The connection was reset within the response');
    }
    return this.#ending && isChunked
      ? new Error('The response was truncated')
      : null;
  }

  /** Connections that were closed because a response exceeded a limit. */
  get exceeded(): number {
    return this.#exceeded;
  }

  /** Connections that were reset and whose sockets reported an ordinary end. */
  get resetEnds(): number {
    return this.#resetEnds;
  }

  /**
   * To be called with the head of a final response. Returns what holds the reads of its
   * connection, to be released at the end of the response.
   */
  onHead(isChunked: boolean): ReadGate | null {
    this.#meter?.onHead(isChunked);
    return this.#gate;
  }

  /** To be called with each part of a body. */
  onBody(bytes: number): void {
    this.#meter?.onBody(bytes);
    this.#pacer.onPart(bytes);
  }

  /** To be called when a response is complete. */
  onResponseEnd(): void {
    // The end of a socket completes a response without a read.
    if (!this.#ending && !this.#failing) this.#meter?.onEnd();
  }

  /** Creates a connector for a pool whose sockets are tracked. */
  connector(
    options: buildConnector.BuildOptions = {},
  ): buildConnector.connector {
    const connect = buildConnector(options);
    return (target, callback) => {
      connect(target, (...result) => {
        const [, socket] = result;
        if (socket) this.#track(socket);
        callback(...result);
      });
    };
  }

  #track(socket: Socket): void {
    // Run before undici's own listeners, which may complete the response.
    socket.on('error', () => this.#onError());
    socket.on('end', () => this.#onEnd(socket));
    this.#meterReads(socket);
  }

  /** undici takes what has arrived by `read` and puts back what it does not parse. */
  #meterReads(socket: Socket): void {
    const meter = new ResponseMeter();
    const gate = new ReadGate(socket);
    const read = socket.read.bind(socket);
    const unshift = socket.unshift.bind(socket);
    const cut = (reason: string) => {
      this.#exceeded++;
      socket.destroy(new Error(reason));
      return null;
    };
    socket.read = (asked?: number) => {
      // The stream itself asks for 0 bytes, to have more read from the system.
      if (asked !== undefined) return read(asked) as Buffer | null;
      if (socket.destroyed || gate.isHeld) return null;
      this.#meter = meter;
      this.#gate = gate;
      meter.onPieceParsed();
      if (meter.excess !== null) return cut(meter.excess);
      if (meter.isInChunkedBody && !this.#pacer.admits(socket)) return null;
      const size = Math.min(socket.readableLength, meter.pieceBytes);
      const piece = read(size > 0 ? size : undefined) as Buffer | null;
      if (piece === null) return null;
      const bytes = meter.onPiece(piece);
      if (meter.excess !== null) return cut(meter.excess);
      if (bytes < piece.length) unshift(piece.subarray(bytes));
      return piece.subarray(0, bytes);
    };
    socket.unshift = (chunk: Buffer) => {
      meter.onUnread(chunk.length);
      unshift(chunk);
    };
  }

  #onEnd(socket: Socket): void {
    if (endedByReset(socket)) {
      this.#resetEnds++;
      this.#onError();
      return;
    }
    this.#ending = true;
    process.nextTick(() => {
      this.#ending = false;
    });
  }

  #onError(): void {
    this.#failing = true;
    process.nextTick(() => {
      this.#failing = false;
    });
  }
}
