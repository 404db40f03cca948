import {NODE_STATES} from './instance-record.js';
import type {InstanceRecord} from './instance-record.js';
import {bucketOf, hashOfKey, TableDigest} from './table-digest.js';
import {compareKeys, keyOf} from './update.js';
import type {RecordKey} from './update.js';

/** Options of {@link MemberTable}. @public */
export interface MemberTableOptions {
  /**
   * Time in milliseconds after which a record with the same key revives a dead
   * member; default 60,000. Before that, the record may come from a node that
   * has not received the suspicion yet.
   */
  readonly settledMs?: number;
  /**
   * Time in milliseconds for which a dead member is kept; default 75 min. A
   * partition between regions may last up to an hour, and the regions need each
   * other's addresses afterwards.
   */
  readonly forgetMs?: number;
  /** Most members that are dead or have left; default 4,096. */
  readonly maxDead?: number;
}

/** A change of one member's record. @public */
export interface MemberChange {
  /** Null for a new member. */
  readonly before: InstanceRecord | null;
  readonly after: InstanceRecord;
}

/** Called after each change of a member. @public */
export type MemberListener = (change: MemberChange) => void;

interface Member {
  record: InstanceRecord;
  /** Time at which the table stored the record. */
  since: number;
  /** Hash of the record's key. */
  readonly hash: number;
  readonly bucket: number;
}

const defaults = {settledMs: 60_000, forgetMs: 4_500_000, maxDead: 4096};

/**
 * The records of all known nodes. For each node, the record with the highest
 * incarnation, sequence and state is kept, compared in this order. Nodes send
 * only `alive`, `suspect` and `left`; each node sets `dead` locally when a
 * suspicion is not refuted in time.
 *
 * @public
 */
export class MemberTable {
  readonly #members = new Map<string, Member>();
  /** Maps addresses to node ids, for live members only. */
  readonly #byAddress = new Map<string, string>();
  readonly #digest = new TableDigest();
  /** Ids of members that are not alive. Usually few, so scans are short. */
  readonly #notAlive = new Set<string>();
  readonly #listeners: MemberListener[] = [];
  readonly #options: Required<MemberTableOptions>;
  #liveCount = 0;
  #live: InstanceRecord[] | null = null;
  #dead: InstanceRecord[] | null = null;

  constructor(options: MemberTableOptions = {}) {
    this.#options = {...defaults, ...options};
  }

  /** Adds a listener. It must not change the table. */
  onChange(listener: MemberListener): void {
    this.#listeners.push(listener);
  }

  get(nodeId: string): InstanceRecord | undefined {
    return this.#members.get(nodeId)?.record;
  }

  byAddress(address: string): InstanceRecord | undefined {
    const nodeId = this.#byAddress.get(address);
    return nodeId === undefined ? undefined : this.get(nodeId);
  }

  /** Members that are alive or suspect. */
  live(): readonly InstanceRecord[] {
    this.#live ??= this.#select(isLive);
    return this.#live;
  }

  /** Members that are suspect. */
  suspects(): InstanceRecord[] {
    const records = [...this.#notAlive].flatMap(id => this.get(id) ?? []);
    return records.filter(r => r.state === NODE_STATES.suspect);
  }

  /** Members that are dead but not forgotten. */
  dead(): readonly InstanceRecord[] {
    this.#dead ??= this.#select(r => r.state === NODE_STATES.dead);
    return this.#dead;
  }

  /** Merges a record; returns true if the table has changed. */
  merge(record: InstanceRecord, now: number): boolean {
    const known = this.#members.get(record.nodeId);
    if (!known && !isLive(record)) return false;
    if (known && !this.#supersedes(record, known, now)) return false;
    if (this.#isReplaced(record)) return false;
    this.#put(record, now);
    return true;
  }

  /** Marks a member suspect if the key is that of its current record. */
  suspect(key: RecordKey, now: number): boolean {
    const known = this.#members.get(key[0]);
    if (!known || compareKeys(keyOf(known.record), key) !== 0) return false;
    return this.merge({...known.record, state: NODE_STATES.suspect}, now);
  }

  /** Stores a member's reported configuration without notifying listeners. */
  noteConfig(nodeId: string, configVersion: number): void {
    const member = this.#members.get(nodeId);
    if (!member || member.record.configVersion === configVersion) return;
    member.record = {...member.record, configVersion};
    this.#live = null;
  }

  /** Declares timed-out suspects dead and removes expired members. */
  expire(now: number, suspicionMs: number): void {
    for (const nodeId of [...this.#notAlive]) {
      const member = this.#members.get(nodeId);
      if (!member) continue;
      const {record, since} = member;
      const age = now - since;
      if (record.state === NODE_STATES.suspect && age >= suspicionMs) {
        this.#put({...record, state: NODE_STATES.dead}, now);
      }
      if (!isLive(record) && age >= this.#options.forgetMs) {
        this.#forget(nodeId);
      }
    }
  }

  /** Values of the digest buckets; equal for equal sets of live members. */
  digest(): number[] {
    return this.#digest.buckets;
  }

  /** Live members in the given buckets, by key hash. */
  hashesIn(buckets: ReadonlySet<number>): Map<number, InstanceRecord> {
    const hashes = new Map<number, InstanceRecord>();
    for (const {record, hash, bucket} of this.#members.values()) {
      if (isLive(record) && buckets.has(bucket)) hashes.set(hash, record);
    }
    return hashes;
  }

  /** Finds the record with the given key hash, whatever its state. */
  byHash(hash: number): InstanceRecord | undefined {
    const nodeId = this.#digest.idOf(hash);
    return nodeId === undefined ? undefined : this.get(nodeId);
  }

  #supersedes(record: InstanceRecord, known: Member, now: number): boolean {
    const order = compareKeys(keyOf(record), keyOf(known.record));
    if (order !== 0) return order > 0;
    const isSettled = now - known.since >= this.#options.settledMs;
    if (known.record.state === NODE_STATES.dead && isSettled) return true;
    return rank[record.state] > rank[known.record.state];
  }

  /** True if a newer process now uses the address of the record. */
  #isReplaced(record: InstanceRecord): boolean {
    const holder = this.byAddress(record.address);
    if (!holder || holder.nodeId === record.nodeId) return false;
    return isLive(record) && holder.incarnation >= record.incarnation;
  }

  #put(record: InstanceRecord, now: number): void {
    const before = this.get(record.nodeId) ?? null;
    const holder = this.byAddress(record.address);
    if (isLive(record) && holder && holder.nodeId !== record.nodeId) {
      this.#put({...holder, state: NODE_STATES.left}, now);
    }
    const former = this.#members.get(record.nodeId);
    const hash = hashOfKey(record);
    const bucket = former?.bucket ?? bucketOf(record.nodeId);
    if (former) this.#count(former, -1);
    const member = {record, since: now, hash, bucket};
    this.#digest.index(record.nodeId, hash, former?.hash);
    this.#count(member, 1);
    this.#members.set(record.nodeId, member);
    if (record.state === NODE_STATES.alive)
      this.#notAlive.delete(record.nodeId);
    else this.#notAlive.add(record.nodeId);
    if (isLive(record)) this.#byAddress.set(record.address, record.nodeId);
    else this.#releaseAddress(record);
    this.#live = null;
    this.#dead = null;
    this.#limitDead();
    for (const listener of this.#listeners) listener({before, after: record});
  }

  #releaseAddress(record: InstanceRecord): void {
    if (this.#byAddress.get(record.address) === record.nodeId) {
      this.#byAddress.delete(record.address);
    }
  }

  #forget(nodeId: string): void {
    const member = this.#members.get(nodeId);
    if (member) this.#digest.drop(member.hash);
    this.#members.delete(nodeId);
    this.#notAlive.delete(nodeId);
    this.#dead = null;
  }

  #limitDead(): void {
    const excess = this.#members.size - this.#liveCount;
    if (excess <= this.#options.maxDead) return;
    for (const [nodeId, {record}] of this.#members) {
      if (isLive(record)) continue;
      this.#forget(nodeId);
      return;
    }
  }

  /** Adds or removes a record. Suspicion does not change count or digest. */
  #count({record, hash}: Member, sign: 1 | -1): void {
    if (!isLive(record)) return;
    this.#liveCount += sign;
    this.#digest.toggle(record, hash);
  }

  #select(accepts: (record: InstanceRecord) => boolean): InstanceRecord[] {
    const records: InstanceRecord[] = [];
    for (const {record} of this.#members.values()) {
      if (accepts(record)) records.push(record);
    }
    return records;
  }
}

const rank = {alive: 0, suspect: 1, dead: 2, left: 3} as const;

/** True for members that are alive or suspect. @internal */
export function isLive(record: InstanceRecord): boolean {
  return (
    record.state === NODE_STATES.alive || record.state === NODE_STATES.suspect
  );
}
