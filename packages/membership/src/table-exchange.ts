import {hashToUint32} from '@verbenabeam/core';
import type {Applied} from './dissemination.js';
import type {ProtocolParts} from './failure-detector.js';
import type {InstanceRecord} from './instance-record.js';
import {JoinClient, TableServer} from './join-policy.js';
import {isLive} from './member-table.js';
import type {GossipMessageOf} from './messages.js';
import {encodeRecord, keyOf, RECORD_BYTES} from './update.js';
import type {Update} from './update.js';

/** Wait before the next digest exchange after a bulk change, at most. */
const bulkDigestMs = 1000;
/** Hashes compared in one exchange; they take a quarter of the saved budget. */
const maxHashes = 320;
/** Share of the byte budget that hashes leave to the records they ask for. */
const hashReserve = 0.25;
/** Size of a hash in a message, in bytes. */
const hashBytes = 5;

/** Joins through a seed and keeps tables equal by their digests. @internal */
export class TableExchange {
  readonly #parts: ProtocolParts;
  readonly #join = new JoinClient();
  readonly #tables = new TableServer();
  #digestAt = -Infinity;
  #seedAt = -Infinity;

  constructor(parts: ProtocolParts) {
    this.#parts = parts;
  }

  get joined(): boolean {
    return this.#join.joined;
  }

  start(seeds: readonly string[], now: number): void {
    const {rng, options} = this.#parts;
    this.#digestAt = now + rng.float() * options.digestMs;
    this.#seedAt = now + rng.float() * options.reunionMs;
    this.setSeeds(seeds, now);
  }

  /** Joins through the given seeds; own addresses are ignored. */
  setSeeds(seeds: readonly string[], now: number): void {
    const {own, rng} = this.#parts;
    const others = seeds.filter(s => s !== own.value.address);
    this.#join.start(others, now, rng);
  }

  /** Returns a seed that should be probed, or null. */
  tick(now: number): string | null {
    const {rng, out, spreader} = this.#parts;
    const seed = this.#join.poll(now, rng);
    if (seed !== null) out.send(seed, {k: 'join', u: [spreader.ownTuple]});
    if (now >= this.#digestAt) this.#exchange(now);
    return now >= this.#seedAt ? this.#unknownSeed(now) : null;
  }

  /** Applies updates; large changes lead to an early exchange. */
  apply(updates: readonly Update[], now: number): Applied {
    const {spreader, rng} = this.#parts;
    const applied = spreader.apply(updates, now);
    if (applied.bulk) this.#exchangeSoon(now);
    if (applied.reunited.length > 0) {
      this.sendDigest(rng.pick(applied.reunited));
    }
    return applied;
  }

  sendDigest(to: string): void {
    const {out, table} = this.#parts;
    out.send(to, {k: 'digest', b: table.digest()});
  }

  onJoin(from: string, updates: readonly Update[], now: number): void {
    const {options, out, table} = this.#parts;
    if (!this.#tables.tryServe(now, options.tablesPerSecond)) {
      out.send(from, {k: 'busy', ms: options.retryAfterMs});
      return;
    }
    this.apply(updates, now);
    const u = table.live().map(encodeRecord);
    out.send(from, {k: 'table', u, full: this.joined});
  }

  onTable({u, full}: GossipMessageOf<'table'>, now: number): void {
    this.#join.accept(full, now, this.#parts.rng);
    this.apply(u, now);
  }

  onBusy(retryAfterMs: number, now: number): void {
    this.#join.refused(retryAfterMs, now, this.#parts.rng);
  }

  /** Shows the own records of some buckets that differ. */
  onDigest(from: string, digest: readonly number[], now: number): void {
    const {out, table, budget, rng} = this.#parts;
    const own = table.digest();
    const differing = [...own.keys()].filter(i => own[i] !== digest[i]);
    if (differing.length === 0) return;
    const all = table.inBuckets(new Set(differing)).length;
    const perBucket = Math.max(1, all / differing.length);
    const most = Math.min(differing.length, Math.ceil(maxHashes / perBucket));
    const count = budget.take(most, perBucket * hashBytes, now, hashReserve);
    if (count === 0) return;
    const b = rng.shuffle(differing).slice(0, count);
    const h = table.inBuckets(new Set(b)).map(hashOf);
    out.send(from, {k: 'hashes', b, h});
  }

  /** Sends what the peer lacks and asks for what this node lacks. */
  onHashes(from: string, {b, h}: GossipMessageOf<'hashes'>, now: number): void {
    const {out, table} = this.#parts;
    const theirs = new Set(h);
    const own = table.inBuckets(new Set(b));
    const ours = new Set(own.map(hashOf));
    const u = this.#within(
      own.filter(r => !theirs.has(hashOf(r))),
      now,
    );
    const w = h.filter(hash => !ours.has(hash));
    if (u.length + w.length > 0) out.send(from, {k: 'diff', b, u, w});
  }

  onDiff(from: string, {b, u, w}: GossipMessageOf<'diff'>, now: number): void {
    // More differences are likely while one was found.
    if (this.apply(u, now).fresh.length > 0) this.#exchangeSoon(now);
    if (w.length === 0) return;
    const {out, table} = this.#parts;
    const wanted = new Set(w);
    const found = table
      .inBuckets(new Set(b))
      .filter(r => wanted.has(hashOf(r)));
    const sent = this.#within(found, now);
    if (sent.length > 0) out.send(from, {k: 'diff', b: [], u: sent, w: []});
  }

  /** As many records as the budget allows, at random. */
  #within(records: readonly InstanceRecord[], now: number): Update[] {
    const {budget, rng} = this.#parts;
    const count = budget.take(records.length, RECORD_BYTES, now);
    return rng.shuffle(records).slice(0, count).map(encodeRecord);
  }

  #exchangeSoon(now: number): void {
    const soon = now + this.#parts.rng.float() * bulkDigestMs;
    this.#digestAt = Math.min(this.#digestAt, soon);
  }

  #exchange(now: number): void {
    const {spreader, rng, options} = this.#parts;
    this.#digestAt = now + options.digestMs * (0.5 + rng.float());
    const [peer] = spreader.peers(1);
    if (peer) this.sendDigest(peer.address);
    else this.#join.restart(now);
  }

  /** A seed that is no live member may belong to an island of nodes. */
  #unknownSeed(now: number): string | null {
    const {rng, options, table} = this.#parts;
    this.#seedAt = now + options.reunionMs * (0.5 + rng.float());
    const seed = this.#join.anySeed(rng);
    return seed === null || table.byAddress(seed) ? null : seed;
  }
}

/** Tells apart whether a record is live, as the table's digest does. */
function hashOf(record: InstanceRecord): number {
  const state = isLive(record) ? '' : '/left';
  return hashToUint32(keyOf(record).join('/') + state);
}
