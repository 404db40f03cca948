import {Result} from 'true-myth';
import type {MeshError} from '@verbenabeam/core';
import {FRAME_TYPES} from './frame.js';
import type {Frame} from './frame.js';
import type {RequestOptions} from './peer-bus.js';
import {PendingRequests} from './pending-requests.js';
import {notSent} from './wire-errors.js';

/** The pings that one side of a connection sends. @internal */
export class Pings {
  /** Sends a frame and returns its number. */
  readonly #send: (frame: Frame) => number;
  /** Waiting pings by their number; pongs come in the same order. */
  readonly #waiting = new PendingRequests();
  #sent = 0;
  #answered = 0;

  constructor(send: (frame: Frame) => number) {
    this.#send = send;
  }

  /** Pings that are waited for. */
  get waiting(): number {
    return this.#waiting.size;
  }

  /** Sends a ping; returns the number of its frame. */
  send(): number {
    this.#sent++;
    return this.#send([FRAME_TYPES.ping, performance.now()]);
  }

  /** Sends a ping and waits for its pong; returns the error if there is none. */
  async untilAnswered(options: RequestOptions): Promise<MeshError | null> {
    const frameNumber = this.send();
    const answer = await this.#waiting.add(this.#sent, frameNumber, options);
    if (answer.isOk) return null;
    return options.signal?.aborted ? answer.error : notSent(answer.error);
  }

  takePong(): void {
    this.#waiting.settle(++this.#answered, Result.ok(null));
  }

  /** Fails those that wait. */
  failAll(err: MeshError): void {
    this.#waiting.failAll(err, () => true);
  }
}
