import type {RandomSource} from '@verbenabeam/core';
import {sendLimit} from './gossip-options.js';
import {NODE_STATES} from './instance-record.js';
import type {InstanceRecord} from './instance-record.js';
import {isLive} from './member-table.js';
import type {MemberTable} from './member-table.js';
import type {OwnRecord} from './own-record.js';
import {
  compareKeys,
  decodeRecord,
  encodeRecord,
  isClaim,
  keyOf,
} from './update.js';
import type {RecordKey, RecordTuple, Update} from './update.js';
import {UpdateQueue} from './update-queue.js';

/** More changes than this at once are spread by digests, not one by one. */
const bulkChanges = 20;

/** What a received list of updates changed. @internal */
export interface Applied {
  readonly fresh: Update[];
  /** Addresses of members that were dead and are alive again. */
  readonly reunited: string[];
  /** True when too much changed to pass it on update by update. */
  readonly bulk: boolean;
}

/** Applies updates to the table, passes them on and defends the own record. */
export class Dissemination {
  readonly #table: MemberTable;
  readonly #own: OwnRecord;
  readonly #rng: RandomSource;
  readonly #queue = new UpdateQueue();

  constructor(table: MemberTable, own: OwnRecord, rng: RandomSource) {
    this.#table = table;
    this.#own = own;
    this.#rng = rng;
  }

  get ownTuple(): RecordTuple {
    return encodeRecord(this.#own.value);
  }

  /** Queues an update for the next probes. */
  add(update: Update): void {
    this.#queue.add(update);
  }

  /** Publishes the own record after a change. */
  publishOwn(now: number): void {
    this.#table.merge(this.#own.value, now);
    this.#queue.add(this.ownTuple);
  }

  /** Updates for one probe or acknowledgement. */
  take(max: number): Update[] {
    return this.#queue.take(max, sendLimit(this.#table.live().length));
  }

  /** Distinct random live members other than this node. */
  peers(count: number, except = ''): InstanceRecord[] {
    const live = this.#table.live();
    const chosen = new Set<InstanceRecord>();
    if (live.length === 0) return [];
    // Tables of few members may not have that many others.
    const maxTries = count * 4;
    for (let i = 0; i < maxTries && chosen.size < count; i++) {
      const peer = this.#rng.pick(live);
      const isSelf = peer.nodeId === this.#own.value.nodeId;
      if (!isSelf && peer.nodeId !== except) chosen.add(peer);
    }
    return [...chosen];
  }

  apply(updates: readonly Update[], now: number): Applied {
    const reunited: string[] = [];
    const fresh = updates.filter(update => {
      const wasDead = this.#table.get(update[0])?.state === NODE_STATES.dead;
      if (!this.#applyOne(update, now)) {
        this.#queue.heard(update);
        return false;
      }
      const after = this.#table.get(update[0]);
      if (wasDead && after && isLive(after)) reunited.push(after.address);
      return true;
    });
    const bulk = fresh.length > bulkChanges;
    if (!bulk) for (const update of fresh) this.#queue.add(update);
    return {fresh, reunited, bulk};
  }

  /** Raises the own record above a doubt. */
  refute(doubted: RecordKey, now: number): void {
    if (this.#own.value.state === NODE_STATES.left) return;
    if (this.#own.refute(doubted)) this.publishOwn(now);
  }

  /** Key to name when this node holds a peer suspect or dead. */
  doubtOf(nodeId: string, key: RecordKey): {d?: RecordKey} {
    const known = this.#table.get(nodeId);
    if (!known || known.state === NODE_STATES.alive) return {};
    return compareKeys(keyOf(known), key) < 0 ? {} : {d: keyOf(known)};
  }

  /** True when a key is newer than the known record of its node. */
  isNewer(key: RecordKey): boolean {
    const known = this.#table.get(key[0]);
    return !known || compareKeys(keyOf(known), key) < 0;
  }

  #applyOne(update: Update, now: number): boolean {
    if (update[0] === this.#own.value.nodeId) {
      this.#defend(update, now);
      return false;
    }
    if (isClaim(update)) return this.#table.suspect(update, now);
    const record = decodeRecord(update);
    if (isLive(record) && this.#own.outlive(record)) this.publishOwn(now);
    return this.#table.merge(record, now);
  }

  #defend(update: Update, now: number): void {
    const key: RecordKey = [update[0], update[1], update[2]];
    const isDoubt =
      isClaim(update) || decodeRecord(update).state !== NODE_STATES.alive;
    const isAhead = compareKeys(key, this.#own.key) > 0;
    if (isDoubt || isAhead) this.refute(key, now);
  }
}
