import type {Socket} from 'node:net';

/**
 * Notifies all open calls of a connection when the caller closes it. Node.js emits
 * `close` only on the first of several pipelined responses, and one turn of the
 * event loop after it has read the end of the connection. In that turn a busy node
 * would still forward calls of the caller.
 *
 * @internal
 */
export class CallerConnections {
  /** Connections that have carried a call. */
  readonly #used = new WeakSet<Socket>();
  /** Callbacks of the open calls of each connection. */
  readonly #callbacks = new WeakMap<Socket, Set<() => void>>();

  /** Records a call. Returns true for the first call of its connection. */
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
   * Calls back once when the connection ends or closes.
   *
   * @returns A function that removes the callback.
   */
  onceClosed(socket: Socket, onClosed: () => void): () => void {
    const callbacks = this.#callbacks.get(socket) ?? this.#watch(socket);
    callbacks.add(onClosed);
    return () => callbacks.delete(onClosed);
  }

  #watch(socket: Socket): Set<() => void> {
    const callbacks = new Set<() => void>();
    this.#callbacks.set(socket, callbacks);
    const endAll = () => {
      for (const onClosed of callbacks) onClosed();
      callbacks.clear();
    };
    socket.once('end', endAll);
    socket.once('close', endAll);
    return callbacks;
  }
}
