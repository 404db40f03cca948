import {compareKeys, isClaim} from './update.js';
import type {RecordKey, Update} from './update.js';

/** Sends that one copy from a peer counts for. */
const sendsPerCopy = 6;

/**
 * Queue length from which copies count; four probes carry as many. With fewer,
 * urgent changes were missed by single nodes at 10% loss when copies counted.
 */
const crowdedSize = 80;
/** Position of the state in a record tuple. */
const stateField = 7;

interface Queued {
  readonly update: Update;
  sent: number;
}

/** Updates that ride on probes, each a limited number of times. @internal */
export class UpdateQueue {
  readonly #queued = new Map<string, Queued>();
  #sendLimit = Infinity;

  get size(): number {
    return this.#queued.size;
  }

  /** Adds an update; it replaces an older one about the same node. */
  add(update: Update): void {
    this.#queued.set(update[0], {update, sent: 0});
  }

  /**
   * Notes that a peer has sent a queued record too. While many updates wait,
   * each such copy counts as several sends: a record that most nodes have comes
   * back often. Suspicions are sent in full: a node that misses one keeps a dead
   * member until its own probe of it.
   */
  heard(update: Update): void {
    const queued = this.#queued.get(update[0]);
    const isCrowded = this.#queued.size > crowdedSize;
    if (!queued || !isCrowded || !isSameRecord(queued.update, update)) return;
    queued.sent += sendsPerCopy;
    if (queued.sent >= this.#sendLimit) this.#queued.delete(update[0]);
  }

  /** Takes the updates that were sent least often. */
  take(max: number, sendLimit: number): Update[] {
    this.#sendLimit = sendLimit;
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

function isSameRecord(a: Update, b: Update): boolean {
  if (isClaim(a) || isClaim(b)) return false;
  if (compareKeys(keyOf(a), keyOf(b)) !== 0) return false;
  return a[stateField] === b[stateField];
}

function keyOf([nodeId, incarnation, sequence]: Update): RecordKey {
  return [nodeId, incarnation, sequence];
}
