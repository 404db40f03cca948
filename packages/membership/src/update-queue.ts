import {compareKeys, isSuspicion} from './update.js';
import type {RecordKey, Update} from './update.js';

/** Number of sends that one copy received from a peer counts as. */
const sendsPerCopy = 6;

/**
 * Queue length above which received copies count; four probes carry this many
 * updates. When copies counted in shorter queues, single nodes missed urgent
 * changes at 10% loss.
 */
const copiesCountAbove = 80;
/** Index of the state in a record tuple. */
const stateIndex = 7;

interface Queued {
  readonly update: Update;
  sent: number;
}

/** Updates to send with probes and acks, each a few times. @internal */
export class UpdateQueue {
  readonly #queued = new Map<string, Queued>();
  #sendLimit = Infinity;

  get size(): number {
    return this.#queued.size;
  }

  /** Adds an update and replaces a queued one for the same node. */
  add(update: Update): void {
    this.#queued.set(update[0], {update, sent: 0});
  }

  /**
   * Handles a copy of a queued record from a peer. While the queue is long,
   * each copy counts as several sends, since copies of a record are frequent
   * once most nodes have it. Copies of suspicions do not count: a node that
   * misses a suspicion keeps a dead member until its own probe fails.
   */
  countCopy(update: Update): void {
    const queued = this.#queued.get(update[0]);
    const isCrowded = this.#queued.size > copiesCountAbove;
    if (!queued || !isCrowded || !isSameRecord(queued.update, update)) return;
    queued.sent += sendsPerCopy;
    if (queued.sent >= this.#sendLimit) this.#queued.delete(update[0]);
  }

  /** Returns the least-sent updates and counts one send for each. */
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
  if (isSuspicion(a) || isSuspicion(b)) return false;
  if (compareKeys(keyOf(a), keyOf(b)) !== 0) return false;
  return a[stateIndex] === b[stateIndex];
}

function keyOf([nodeId, incarnation, sequence]: Update): RecordKey {
  return [nodeId, incarnation, sequence];
}
