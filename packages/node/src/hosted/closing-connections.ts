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
  /** The newest response of each connection. */
  readonly #newest = new WeakMap<Socket, ServerResponse>();

  /**
   * Takes a request.
   *
   * @param closes - Whether the connection should close once it is answered.
   * @returns False if the request must not run, since an earlier response closes the
   *   connection.
   */
  admit(req: IncomingMessage, res: ServerResponse, closes: boolean): boolean {
    const earlier = this.#newest.get(req.socket);
    if (earlier && !earlier.shouldKeepAlive) {
      if (earlier.headersSent) return false;
      earlier.shouldKeepAlive = true;
    }
    this.#newest.set(req.socket, res);
    if (closes) res.shouldKeepAlive = false;
    return true;
  }
}
