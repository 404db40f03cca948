import {Result} from 'true-myth';
import {MeshError, WIRE_CODES} from '@verbenabeam/core';
import type {RandomSource} from '@verbenabeam/core';
import type {SimScheduler} from './sim-scheduler.js';

const minDelayMs = 1;
const maxDelayMs = 30;
const requestTimeoutMs = 1_000;

/** Links that lose, duplicate, delay and cut messages. @internal */
export class SimLink {
  lossShare = 0;
  duplicateShare = 0;
  /** Messages overtake each other by up to this time. */
  lateMs = 0;
  readonly #scheduler: SimScheduler;
  readonly #random: RandomSource;
  #cutOff: ReadonlySet<string> = new Set();

  constructor(scheduler: SimScheduler, random: RandomSource) {
    this.#scheduler = scheduler;
    this.#random = random;
  }

  /** Cuts a group of nodes off from all others. */
  cut(group: ReadonlySet<string>): void {
    this.#cutOff = group;
  }

  /** Delivers a message never, once or twice. */
  send(from: string, to: string, deliver: () => void): void {
    const copies = this.#random.float() < this.duplicateShare ? 2 : 1;
    for (let i = 0; i < copies; i++) this.#sendOnce(from, to, deliver);
  }

  /** The handler gets a function that sends the response. */
  request(
    from: string,
    to: string,
    handle: (respond: (body: Result<unknown, MeshError>) => void) => void,
  ): Promise<Result<unknown, MeshError>> {
    return new Promise(resolve => {
      const code = WIRE_CODES.timeout;
      const expire = () => resolve(Result.err(new MeshError(code, code.text)));
      this.#scheduler.after(requestTimeoutMs, expire);
      this.send(from, to, () =>
        handle(body => this.send(to, from, () => resolve(body))),
      );
    });
  }

  #sendOnce(from: string, to: string, deliver: () => void): void {
    if (this.#random.float() < this.lossShare) return;
    const late = this.#random.float() * this.lateMs;
    const usual = minDelayMs + this.#random.float() * maxDelayMs;
    this.#scheduler.after(usual + late, () => {
      if (this.#cutOff.has(from) === this.#cutOff.has(to)) deliver();
    });
  }
}
