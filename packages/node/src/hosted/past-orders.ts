import {createHash} from 'node:crypto';
import {revisionOf} from '@verbenabeam/store';
import type {RolloutOrder} from './operator-documents.js';
import type {OperatorRecord} from './operator-records.js';

/** Orders of one key that are remembered. */
const maxOrders = 64;

interface KeyOrders {
  current: RolloutOrder;
  /** Marks of the records, the newest last. */
  readonly marks: string[];
}

/**
 * The orders that this node has taken up, by key. A copy of the store shows an old
 * order at its old revision.
 *
 * @internal
 */
export class PastOrders {
  readonly #orders = new Map<string, KeyOrders>();

  /** The last order of the key; null if there was none. */
  current(key: string): RolloutOrder | null {
    return this.#orders.get(key)?.current ?? null;
  }

  /** Whether the record is an order of the key before the last one. */
  hasFormer(record: OperatorRecord): boolean {
    const marks = this.#orders.get(record.key)?.marks ?? [];
    const mark = markOf(record);
    return marks.includes(mark) && marks.at(-1) !== mark;
  }

  add(order: RolloutOrder, record: OperatorRecord): void {
    const marks = this.#orders.get(record.key)?.marks ?? [];
    this.#orders.set(record.key, {current: order, marks});
    this.addPlace(record);
  }

  /** Notes where the store shows the last order of the key now. */
  addPlace(record: OperatorRecord): void {
    const {marks} = this.#orders.get(record.key) ?? {};
    const mark = markOf(record);
    if (!marks || marks.at(-1) === mark) return;
    marks.push(mark);
    if (marks.length > maxOrders) marks.shift();
  }
}

function markOf({revision, value}: OperatorRecord): string {
  const hash = createHash('sha256').update(value).digest('base64');
  return `${revisionOf(revision)} ${hash}`;
}
