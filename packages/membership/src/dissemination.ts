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
  isSuspicion,
  keyOf,
} from './update.js';
import type {RecordKey, RecordTuple, Update} from './update.js';
import {UpdateQueue} from './update-queue.js';

/** Above this number of changes, digests spread them instead of updates. */
const bulkChanges = 20;

/** Result of applying a list of updates. @internal */
export interface ApplyResult {
  readonly fresh: Update[];
  /** Addresses of members that were dead and are live again. */
  readonly revived: string[];
  /** True if there are too many changes to forward them as updates. */
  readonly bulk: boolean;
}

/** Applies and forwards updates; refutes suspicions about this node. */
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

  /** Stores and queues this node's record after a change. */
  publishOwn(now: number): void {
    this.#table.merge(this.#own.value, now);
    this.#queue.add(this.ownTuple);
  }

  /** Takes the updates for one probe or ack. */
  take(max: number): Update[] {
    return this.#queue.take(max, sendLimit(this.#table.live().length));
  }

  /** A random live member other than this node, mostly of its data centre. */
  digestPeer(remoteShare: number): InstanceRecord | undefined {
    const isNear = remoteShare < 1 && this.#rng.float() >= remoteShare;
    const [local] = this.#othersByPlace();
    if (isNear && local.length > 0) return this.#rng.pick(local);
    return this.peers(1)[0];
  }

  /**
   * Up to `count` distinct random live members other than this node, as many of
   * them in other data centres as the share of remote probes says, at least one.
   */
  spreadPeers(count: number, remoteShare: number): InstanceRecord[] {
    if (remoteShare >= 1) return this.peers(count);
    const [local, remote] = this.#othersByPlace();
    if (local.length < count) return this.peers(count);
    const remoteCount = Math.max(1, Math.round(count * remoteShare));
    return [
      ...this.#rng.shuffle(remote).slice(0, remoteCount),
      ...this.#rng.shuffle(local),
    ].slice(0, count);
  }

  /** Up to `count` distinct random live members other than this node. */
  peers(count: number, except = ''): InstanceRecord[] {
    const live = this.#table.live();
    const chosen = new Set<InstanceRecord>();
    if (live.length === 0) return [];
    // A small table may have fewer than `count` other members.
    const maxTries = count * 4;
    for (let i = 0; i < maxTries && chosen.size < count; i++) {
      const peer = this.#rng.pick(live);
      const isSelf = peer.nodeId === this.#own.value.nodeId;
      if (!isSelf && peer.nodeId !== except) chosen.add(peer);
    }
    return [...chosen];
  }

  apply(updates: readonly Update[], now: number): ApplyResult {
    const reunited: string[] = [];
    const fresh = updates.filter(update => {
      const wasDead = this.#table.get(update[0])?.state === NODE_STATES.dead;
      if (!this.#applyOne(update, now)) {
        this.#queue.countCopy(update);
        return false;
      }
      const after = this.#table.get(update[0]);
      if (wasDead && after && isLive(after)) reunited.push(after.address);
      return true;
    });
    const bulk = fresh.length > bulkChanges;
    if (!bulk) for (const update of fresh) this.#queue.add(update);
    return {fresh, revived: reunited, bulk};
  }

  /** Publishes a newer record of this node to refute a suspicion. */
  refute(suspected: RecordKey, now: number): void {
    if (this.#own.value.state === NODE_STATES.left) return;
    if (this.#own.refute(suspected)) this.publishOwn(now);
  }

  /** Message field that tells a peer that it is suspect or dead here. */
  suspicionOf(nodeId: string, key: RecordKey): {d?: RecordKey} {
    const known = this.#table.get(nodeId);
    if (!known || known.state === NODE_STATES.alive) return {};
    return compareKeys(keyOf(known), key) < 0 ? {} : {d: keyOf(known)};
  }

  /** True if a key is newer than the stored record of its node. */
  isNewer(key: RecordKey): boolean {
    const known = this.#table.get(key[0]);
    return !known || compareKeys(keyOf(known), key) < 0;
  }

  /** Other live members in this data centre, and in other ones. */
  #othersByPlace(): [InstanceRecord[], InstanceRecord[]] {
    const own = this.#own.value;
    const others = this.#table.live().filter(r => r.nodeId !== own.nodeId);
    return [
      others.filter(r => r.dataCentre === own.dataCentre),
      others.filter(r => r.dataCentre !== own.dataCentre),
    ];
  }

  #applyOne(update: Update, now: number): boolean {
    if (update[0] === this.#own.value.nodeId) {
      this.#checkOwnUpdate(update, now);
      return false;
    }
    if (isSuspicion(update)) return this.#table.suspect(update, now);
    const record = decodeRecord(update);
    if (isLive(record) && this.#own.supersedeAtAddress(record))
      this.publishOwn(now);
    return this.#table.merge(record, now);
  }

  #checkOwnUpdate(update: Update, now: number): void {
    const key: RecordKey = [update[0], update[1], update[2]];
    const isDoubt =
      isSuspicion(update) || decodeRecord(update).state !== NODE_STATES.alive;
    const isAhead = compareKeys(key, this.#own.key) > 0;
    if (isDoubt || isAhead) this.refute(key, now);
  }
}
