import type {Update} from './update.js';

interface Queued {
  readonly update: Update;
  sent: number;
}

/** Updates that ride on probes, each a limited number of times. @internal */
export class UpdateQueue {
  readonly #queued = new Map<string, Queued>();

  get size(): number {
    return this.#queued.size;
  }

  /** Adds an update; it replaces an older one about the same node. */
  add(update: Update): void {
    this.#queued.set(update[0], {update, sent: 0});
  }

  /** Takes the updates that were sent least often. */
  take(max: number, sendLimit: number): Update[] {
    const next = [...this.#queued.values()]
      .sort((a, b) => a.sent - b.sent)
      .slice(0, max);
    for (const queued of next) {
      queued.sent++;
      if (queued.sent >= sendLimit) this.#queued.delete(queued.update[0]);
    }
    return next.map(q => q.update);
  }
}
