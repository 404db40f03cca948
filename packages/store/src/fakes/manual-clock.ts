import {setImmediate} from 'node:timers/promises';
import type {Clock} from '@verbenabeam/core';
import type {Sleep} from '../sleep.js';

interface Timer {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/**
 * Clock that moves only by `advance`. Timers run in order of time, then of
 * creation, so that a run with the same inputs always has the same sequence.
 *
 * @public
 */
export class ManualClock implements Clock {
  #now = 0;
  #order = 0;
  #timers: Timer[] = [];
  readonly #wallStart: number;

  /** @param wallStart - Calendar time at `now() === 0`, in milliseconds. */
  constructor(wallStart = 1_700_000_000_000) {
    this.#wallStart = wallStart;
  }

  now(): number {
    return this.#now;
  }

  wallTime(): number {
    return this.#wallStart + this.#now;
  }

  readonly sleep: Sleep = (ms, signal) =>
    new Promise(resolve => {
      if (signal?.aborted) {
        resolve();
        return;
      }
      const run = () => {
        signal?.removeEventListener('abort', onAbort);
        resolve();
      };
      const timer = this.#add(ms, run);
      const onAbort = () => {
        this.#timers = this.#timers.filter(t => t !== timer);
        resolve();
      };
      signal?.addEventListener('abort', onAbort, {once: true});
    });

  /** Runs `run` after `ms` milliseconds. */
  after(ms: number, run: () => void): void {
    this.#add(ms, run);
  }

  /** Moves the time forward and runs what falls due, including new timers. */
  async advance(ms: number): Promise<void> {
    const end = this.#now + ms;
    await setImmediate();
    for (;;) {
      const next = this.#timers[0];
      if (!next || next.at > end) break;
      this.#now = next.at;
      this.#runDue();
      // Lets every promise that depends on these timers proceed.
      await setImmediate();
    }
    this.#now = end;
  }

  #runDue(): void {
    while (this.#timers[0] && this.#timers[0].at <= this.#now) {
      this.#timers.shift()?.run();
    }
  }

  #add(ms: number, run: () => void): Timer {
    const at = this.#now + Math.max(0, ms);
    const timer = {at, order: this.#order++, run};
    let low = 0;
    let high = this.#timers.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if ((this.#timers[middle] as Timer).at <= at) low = middle + 1;
      else high = middle;
    }
    this.#timers.splice(low, 0, timer);
    return timer;
  }
}
