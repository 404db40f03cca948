import {buildConnector} from 'undici';

/**
 * Tells an answer that was reset from one that ended. undici takes a reset for
 * the end of an answer without a length.
 *
 * @internal
 */
export class ResetWatch {
  #failing = false;

  /** Whether the current callback is caused by the error of a connection. */
  get isFailing(): boolean {
    return this.#failing;
  }

  /** Connector for a pool whose connections are watched. */
  connector(): buildConnector.connector {
    const connect = buildConnector({});
    return (options, callback) => {
      connect(options, (...result) => {
        const [, socket] = result;
        // Runs before undici's own listener, which may end the answer.
        socket?.on('error', () => this.#onError());
        callback(...result);
      });
    };
  }

  #onError(): void {
    this.#failing = true;
    process.nextTick(() => {
      this.#failing = false;
    });
  }
}
