import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/**
 * Decides which response closes a connection that is to be closed. Callers may send
 * requests before the earlier ones are answered, and Node.js drops the responses
 * behind the one that closes the connection, so only the last one may.
 *
 * @internal
 */
export class ClosingConnections {
  /** The newest response of each open connection. */
  readonly #newest = new Map<Socket, ServerResponse>();

  /**
   * Takes a request.
   *
   * @param closes - Whether the connection should close once it is answered.
   * @returns False if the request must not run, since an earlier response closes the
   *   connection.
   */
  admit(req: IncomingMessage, res: ServerResponse, closes: boolean): boolean {
    const {socket} = req;
    const earlier = this.#newest.get(socket);
    if (earlier && !earlier.shouldKeepAlive) {
      if (earlier.headersSent) return false;
      earlier.shouldKeepAlive = true;
    }
    if (!earlier) socket.once('close', () => this.#newest.delete(socket));
    this.#newest.set(socket, res);
    if (closes) res.shouldKeepAlive = false;
    return true;
  }

  /** Whether a response has begun that the system has not taken whole. */
  get isSending(): boolean {
    const responses = [...this.#newest.values()];
    return responses.some(res => res.headersSent && !res.writableFinished);
  }

  /**
   * Resets connections with unfinished responses at once: a usual end would make the
   * part of a response without a length look complete.
   */
  resetUnfinished(): void {
    for (const [socket, res] of this.#newest) {
      if (!res.writableFinished) socket.resetAndDestroy();
    }
  }
}
