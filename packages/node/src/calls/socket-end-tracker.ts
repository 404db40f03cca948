import {buildConnector} from 'undici';

/**
 * Helps to tell a truncated response from a complete one. undici reports a
 * response without a length as complete when the connection is reset, and a
 * chunked response as complete when a connection without keep-alive ends.
 *
 * @internal
 */
export class SocketEndTracker {
  #failing = false;
  #ending = false;

  /** Whether a socket error causes the current callback. */
  get isFailing(): boolean {
    return this.#failing;
  }

  /** Whether the end of a socket causes the current callback. */
  get isEnding(): boolean {
    return this.#ending;
  }

  /** Creates a connector for a pool whose sockets are tracked. */
  connector(): buildConnector.connector {
    const connect = buildConnector({});
    return (options, callback) => {
      connect(options, (...result) => {
        const [, socket] = result;
        // Runs before undici's own listener, which may complete the response.
        socket?.on('error', () => this.#onError());
        socket?.on('end', () => this.#onEnd());
        callback(...result);
      });
    };
  }

  #onEnd(): void {
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
