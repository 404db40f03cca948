import type {Server} from 'node:http';
import {logger} from '@verbenabeam/core';

const log = logger('node');
/** Above this share of the descriptors, connections close after a response. */
const closeShare = 0.4;
/** Above this share of the descriptors, new connections are refused. */
const refuseShare = 0.8;

/**
 * Listen backlog for callers. An iteration of the event loop accepts one
 * connection and takes up to 20 ms after a restart. With a longer backlog, callers
 * time out before their connection is accepted, and accepting the abandoned
 * connections delays the callers that still wait.
 *
 * @internal
 */
export const callerBacklog = 32;

/**
 * Limits the connections of callers by the file descriptors of the process. Some
 * callers retry on new connections and keep the old ones open.
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
      log('Caller connection refused: too many are open.', {open: this.#open});
    });
  }

  /** Whether a connection should close after its next response. */
  get shouldCloseAfterResponse(): boolean {
    return this.#open > this.#closeThreshold;
  }
}
