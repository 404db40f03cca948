import {syncBuiltinESMExports} from 'node:module';
import {setImmediate as settled} from 'node:timers/promises';
import timersPromises from 'node:timers/promises';
import type {Clock} from '@verbenabeam/core';

const epochMs = Date.UTC(2026, 0, 1);

interface Task {
  at: number;
  readonly order: number;
  /** Process that the task belongs to; '' for the test itself. */
  readonly owner: string;
  readonly run: () => void;
  isCancelled: boolean;
}

interface SleepOptions {
  readonly signal?: AbortSignal;
}

/** What a replaced timer function returns. */
class VirtualTimer {
  constructor(public task: Task) {}

  ref(): this {
    return this;
  }

  unref(): this {
    return this;
  }

  hasRef(): boolean {
    return true;
  }
}

const real = {
  setTimeout: globalThis.setTimeout,
  setInterval: globalThis.setInterval,
  clearTimeout: globalThis.clearTimeout,
  clearInterval: globalThis.clearInterval,
  sleep: timersPromises.setTimeout,
};

/**
 * Time that moves only by `advance`, for code that uses the timers of Node.js. Tasks
 * run in order of time, then of creation, and all promises settle between them. A
 * task belongs to the process whose task created it; a process can be frozen.
 */
export class VirtualTime implements Clock {
  #now = 0;
  #order = 0;
  #owner = '';
  /** Binary heap. */
  readonly #tasks: Task[] = [];
  /** Time until which each process is frozen. */
  readonly #frozen = new Map<string, number>();
  #isInstalled = false;

  /** Process whose task runs; '' for the test itself. */
  get owner(): string {
    return this.#owner;
  }

  now(): number {
    return this.#now;
  }

  wallTime(): number {
    return epochMs + Math.floor(this.#now);
  }

  /** Replaces the timers of Node.js until `uninstall`. */
  install(): void {
    this.#isInstalled = true;
    Object.assign(globalThis, {
      setTimeout: (run: (...args: unknown[]) => void, ms = 0, ...args: []) =>
        new VirtualTimer(this.after(ms, () => run(...args))),
      setInterval: (run: () => void, ms = 0) => this.#repeat(run, ms),
      clearTimeout: clear,
      clearInterval: clear,
    });
    const sleep = (ms = 0, value?: unknown, options: SleepOptions = {}) =>
      this.#sleep(ms, value, options.signal);
    Object.assign(timersPromises, {setTimeout: sleep});
    Object.assign(performance, {now: () => this.#now});
    syncBuiltinESMExports();
  }

  uninstall(): void {
    if (!this.#isInstalled) return;
    this.#isInstalled = false;
    const {sleep, ...timers} = real;
    Object.assign(globalThis, timers);
    Object.assign(timersPromises, {setTimeout: sleep});
    Reflect.deleteProperty(performance, 'now');
    syncBuiltinESMExports();
  }

  /** Runs a task after a delay. */
  after(ms: number, run: () => void, owner = this.#owner): Task {
    const at = this.#now + Math.max(0, ms);
    const task = {at, order: this.#order++, owner, run, isCancelled: false};
    this.#push(task);
    return task;
  }

  /** Runs a function as a process. */
  as<T>(owner: string, run: () => T): T {
    const before = this.#owner;
    this.#owner = owner;
    try {
      return run();
    } finally {
      this.#owner = before;
    }
  }

  /** The process runs nothing for some time; what falls due runs afterwards. */
  freeze(owner: string, ms: number): void {
    this.#frozen.set(owner, this.#now + ms);
  }

  /** Whether the process was frozen at any time since then. */
  wasFrozenSince(owner: string, at: number): boolean {
    return (this.#frozen.get(owner) ?? -Infinity) >= at;
  }

  thawAll(): void {
    for (const [owner, until] of this.#frozen) {
      this.#frozen.set(owner, Math.min(until, this.#now));
    }
  }

  /** Moves the time forward; `afterTask` runs after each task. */
  async advance(ms: number, afterTask: () => void): Promise<void> {
    const end = this.#now + ms;
    await settled();
    for (;;) {
      const next = this.#tasks[0];
      if (!next || next.at > end) break;
      this.#pop();
      if (next.isCancelled) continue;
      const thawsAt = this.#frozen.get(next.owner) ?? 0;
      if (thawsAt > next.at) {
        next.at = thawsAt;
        this.#push(next);
        continue;
      }
      this.#now = Math.max(this.#now, next.at);
      this.#owner = next.owner;
      next.run();
      await settled();
      this.#owner = '';
      afterTask();
    }
    this.#now = end;
  }

  #repeat(run: () => void, ms: number): VirtualTimer {
    const next = () => {
      timer.task = this.after(ms, next);
      run();
    };
    const timer = new VirtualTimer(this.after(ms, next));
    return timer;
  }

  #sleep(ms: number, value: unknown, signal?: AbortSignal): Promise<unknown> {
    return new Promise((resolve, reject) => {
      const onAbort = () => {
        task.isCancelled = true;
        reject(new DOMException('The operation was aborted', 'AbortError'));
      };
      const task = this.after(ms, () => {
        signal?.removeEventListener('abort', onAbort);
        resolve(value);
      });
      if (signal?.aborted) onAbort();
      else signal?.addEventListener('abort', onAbort, {once: true});
    });
  }

  #push(task: Task): void {
    const tasks = this.#tasks;
    let i = tasks.push(task) - 1;
    while (i > 0) {
      const parent = (i - 1) >>> 1;
      if (!isBefore(task, tasks[parent] as Task)) break;
      tasks[i] = tasks[parent] as Task;
      i = parent;
    }
    tasks[i] = task;
  }

  #pop(): void {
    const tasks = this.#tasks;
    const last = tasks.pop() as Task;
    if (tasks.length === 0) return;
    let i = 0;
    for (;;) {
      let child = 2 * i + 1;
      if (child >= tasks.length) break;
      const right = child + 1;
      if (
        right < tasks.length &&
        isBefore(tasks[right] as Task, tasks[child] as Task)
      )
        child = right;
      if (!isBefore(tasks[child] as Task, last)) break;
      tasks[i] = tasks[child] as Task;
      i = child;
    }
    tasks[i] = last;
  }
}

function isBefore(a: Task, b: Task): boolean {
  return a.at === b.at ? a.order < b.order : a.at < b.at;
}

function clear(timer: unknown): void {
  if (timer instanceof VirtualTimer) timer.task.isCancelled = true;
  else real.clearTimeout(timer as NodeJS.Timeout);
}
