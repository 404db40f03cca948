import {buildConnector} from 'undici';

/**
 * Tells an answer that was cut from one that ended. undici takes a reset for the
 * end of an answer without a length, and the end of a connection that is not
 * kept for the end of an answer in chunks.
 *
 * @internal
 */
export class ResetWatch {
  #failing = false;
  #ending = false;

  /** Whether the current callback is caused by the error of a connection. */
  get isFailing(): boolean {
    return this.#failing;
  }

  /** Whether the current callback is caused by the end of a connection. */
  get isEnding(): boolean {
    return this.#ending;
  }

  /** Connector for a pool whose connections are watched. */
  connector(): buildConnector.connector {
    const connect = buildConnector({});
    return (options, callback) => {
      connect(options, (...result) => {
        const [, socket] = result;
        // Runs before undici's own listener, which may end the answer.
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
