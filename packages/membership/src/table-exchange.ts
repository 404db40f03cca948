import type {Applied} from './dissemination.js';
import type {ProtocolParts} from './failure-detector.js';
import {JoinClient, TableServer} from './join-policy.js';
import type {GossipMessageOf} from './messages.js';
import {compareKeys, encodeRecord, keyOf} from './update.js';
import type {RecordKey, Update} from './update.js';

/** Wait before the next digest exchange after a bulk change, at most. */
const bulkDigestMs = 1000;

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
    if (applied.bulk) {
      const soon = now + rng.float() * bulkDigestMs;
      this.#digestAt = Math.min(this.#digestAt, soon);
    }
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

  onDigest(from: string, digest: readonly number[]): void {
    const {out, table} = this.#parts;
    const own = table.digest();
    const b = [...own.keys()].filter(i => own[i] !== digest[i]);
    if (b.length === 0) return;
    const u = table.inBuckets(new Set(b)).map(encodeRecord);
    out.send(from, {k: 'diff', b, u, ask: true});
  }

  onDiff(from: string, diff: GossipMessageOf<'diff'>, now: number): void {
    this.apply(diff.u, now);
    if (!diff.ask) return;
    const {out, table} = this.#parts;
    const theirs = new Map(diff.u.map(u => [u[0], keyOfUpdate(u)]));
    const newer = table.inBuckets(new Set(diff.b)).filter(record => {
      const key = theirs.get(record.nodeId);
      return !key || compareKeys(keyOf(record), key) > 0;
    });
    const u = newer.map(encodeRecord);
    if (u.length > 0) out.send(from, {k: 'diff', b: [], u, ask: false});
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

function keyOfUpdate([nodeId, incarnation, sequence]: Update): RecordKey {
  return [nodeId, incarnation, sequence];
}
