import type {Socket} from 'node:net';

/**
 * Tells the calls of a connection when their caller leaves. Node.js tells only the
 * response whose turn it is, and one turn of the event loop after it has read the
 * end of the connection; at a busy node calls are sent on in that turn.
 *
 * @internal
 */
export class CallerConnections {
  /** Connections that have sent a call. */
  readonly #used = new WeakSet<Socket>();
  /** What ends the open calls of a connection. */
  readonly #open = new WeakMap<Socket, Set<() => void>>();

  /** Notes a call; true for the first one of its connection. */
  recordCall(socket: Socket): boolean {
    const isFirst = !this.#used.has(socket);
    if (isFirst) this.#used.add(socket);
    return isFirst;
  }

  /** Whether the end of the connection has been read. */
  isClosed(socket: Socket): boolean {
    return socket.readableEnded || socket.destroyed;
  }

  /**
   * Calls back once when the caller leaves.
   *
   * @returns Stops waiting for it.
   */
  onceClosed(socket: Socket, onLeft: () => void): () => void {
    const calls = this.#open.get(socket) ?? this.#watch(socket);
    calls.add(onLeft);
    return () => calls.delete(onLeft);
  }

  #watch(socket: Socket): Set<() => void> {
    const calls = new Set<() => void>();
    this.#open.set(socket, calls);
    const endAll = () => {
      for (const onLeft of calls) onLeft();
      calls.clear();
    };
    socket.once('end', endAll);
    socket.once('close', endAll);
    return calls;
  }
}
