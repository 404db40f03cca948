import type {Server} from 'node:http';
import {logger} from '@verbenabeam/core';

const log = logger('node');
/** Share of the descriptors from which connections end with their answer. */
const closeShare = 0.4;
/** Share of the descriptors beyond which connections are refused. */
const refuseShare = 0.8;

/**
 * Connections of callers that may wait to be accepted. A turn of the event loop
 * accepts one and takes up to 20 ms after a restart; behind more than this its
 * callers have left before their turn, and to accept what they left takes the time
 * of those who still wait.
 *
 * @internal
 */
export const callerBacklog = 32;

/**
 * Bounds the connections of callers by the descriptors that the process may use.
 * Load pattern: callers that repeat on new channels and keep the old ones.
 *
 * @internal
 */
export class CallerConnections {
  readonly #closeThreshold: number;
  #open = 0;

  constructor(server: Server, maxDescriptors: number) {
    this.#closeThreshold = Math.floor(maxDescriptors * closeShare);
    server.maxConnections = Math.floor(maxDescriptors * refuseShare);
    server.on('connection', socket => {
      this.#open++;
      socket.once('close', () => this.#open--);
    });
    server.on('drop', () => {
      log('Connection of a caller is refused.', {open: this.#open});
    });
  }

  /** Whether an answer should end its connection. */
  get shouldCloseAfterResponse(): boolean {
    return this.#open > this.#closeThreshold;
  }
}
