import type {Socket} from 'node:net';

/**
 * Holds the reads of a connection while the receiver of its response takes no more. The
 * parser of undici must not be paused for this: when the connection ends while it is, it
 * throws in the handler of the event, and the request gets neither a response nor an error.
 */
export class ReadGate {
  readonly #socket: Socket;
  #isHeld = false;

  constructor(socket: Socket) {
    this.#socket = socket;
  }

  get isHeld(): boolean {
    return this.#isHeld;
  }

  /** Reads nothing more; what the last read brought is still parsed. */
  hold(): void {
    this.#isHeld = true;
  }

  /** Reads again. */
  release(): void {
    if (!this.#isHeld) return;
    this.#isHeld = false;
    // Another parser may be running now.
    process.nextTick(() => {
      if (!this.#isHeld && !this.#socket.destroyed) {
        this.#socket.emit('readable');
      }
    });
  }
}
