import type {Socket} from 'node:net';

/**
 * Tells whether callers have left. Node.js tells their calls one turn of the event
 * loop after it has read the end of the connection; at a busy node calls are sent on
 * in that turn.
 *
 * @internal
 */
export class CallerLinks {
  /** Connections that have sent a call. */
  readonly #used = new WeakSet<Socket>();

  /** Notes a call; true for the first one of its connection. */
  noteCall(socket: Socket): boolean {
    const isFirst = !this.#used.has(socket);
    if (isFirst) this.#used.add(socket);
    return isFirst;
  }

  /** Whether the end of the connection has been read. */
  hasLeft(socket: Socket): boolean {
    return socket.readableEnded || socket.destroyed;
  }
}
