import {createHash} from 'node:crypto';
import {revisionOf} from '@verbenabeam/store';
import type {RolloutOrder} from './operator-documents.js';
import type {OperatorRecord} from './operator-records.js';

/** Orders of one key that are remembered. */
const maxOrders = 64;

/** Where the store showed an order. */
interface OrderPlace {
  /** Revision without its era. */
  readonly revision: number;
  readonly hash: string;
}

interface KeyOrders {
  current: RolloutOrder;
  /** Places of the records, the newest last. */
  readonly places: OrderPlace[];
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

  /**
   * Whether the record is an order of the key before the last one. At a revision
   * above that of the last one it is newer: revisions are given out again, and orders
   * that are written again may get those that they had.
   */
  hasFormer(record: OperatorRecord): boolean {
    const {places = []} = this.#orders.get(record.key) ?? {};
    const last = places.at(-1);
    const place = placeOf(record);
    if (!last || place.revision >= last.revision) return false;
    return places.some(former => isEqual(former, place));
  }

  add(order: RolloutOrder, record: OperatorRecord): void {
    const {places = []} = this.#orders.get(record.key) ?? {};
    this.#orders.set(record.key, {current: order, places});
    this.addPlace(record);
  }

  /** Notes an order that an answer of an earlier state shows; ignores other records. */
  addFormer(record: OperatorRecord): void {
    const {places} = this.#orders.get(record.key) ?? {};
    const last = places?.at(-1);
    if (!places || !last || places.length >= maxOrders) return;
    const place = placeOf(record);
    const isOlder = place.revision < last.revision && place.hash !== last.hash;
    if (!isOlder || this.hasFormer(record)) return;
    places.unshift(place);
  }

  /** Notes where the store shows the last order of the key now. */
  addPlace(record: OperatorRecord): void {
    const {places} = this.#orders.get(record.key) ?? {};
    const place = placeOf(record);
    const last = places?.at(-1);
    if (!places || (last && isEqual(last, place))) return;
    places.push(place);
    if (places.length > maxOrders) places.shift();
  }
}

function placeOf({revision, value}: OperatorRecord): OrderPlace {
  const hash = createHash('sha256').update(value).digest('base64');
  return {revision: revisionOf(revision), hash};
}

function isEqual(a: OrderPlace, b: OrderPlace): boolean {
  return a.revision === b.revision && a.hash === b.hash;
}
