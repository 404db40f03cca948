import {setImmediate as settled} from 'node:timers/promises';
import type {Clock} from '@verbenabeam/core';

interface Task {
  readonly at: number;
  readonly run: () => void;
}

const epochMs = Date.UTC(2026, 0, 1);

/** Virtual time: runs tasks in order of their time. @internal */
export class SimScheduler implements Clock {
  #time = 0;
  #steps = 0;
  readonly #tasks: Task[] = [];

  now(): number {
    return this.#time;
  }

  wallTime(): number {
    return epochMs + this.#time;
  }

  /** Tasks that have run. */
  get steps(): number {
    return this.#steps;
  }

  /** Runs a task after a delay; tasks of one time run in order of creation. */
  after(delayMs: number, run: () => void): void {
    const at = this.#time + delayMs;
    let index = this.#tasks.length;
    while (index > 0 && (this.#tasks[index - 1] as Task).at > at) index--;
    this.#tasks.splice(index, 0, {at, run});
  }

  wait(delayMs: number): Promise<void> {
    return new Promise(resolve => {
      this.after(delayMs, resolve);
    });
  }

  /** Advances the time and lets all promises settle after each task. */
  async advance(ms: number, afterStep: () => void): Promise<void> {
    const end = this.#time + ms;
    // A call may schedule its first task only after some promises.
    await settled();
    for (;;) {
      const next = this.#tasks[0];
      if (!next || next.at > end) break;
      this.#tasks.shift();
      this.#time = next.at;
      this.#steps++;
      next.run();
      await settled();
      afterStep();
    }
    this.#time = end;
  }
}
