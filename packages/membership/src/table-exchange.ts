import type {Applied} from './dissemination.js';
import type {ProtocolParts} from './failure-detector.js';
import {JoinClient, TableServer} from './join-policy.js';
import type {GossipMessageOf} from './messages.js';
import {Reconciler} from './reconciler.js';
import {encodeRecord} from './update.js';
import type {Update} from './update.js';

/** Longest delay of the next digest exchange after a bulk change. */
const bulkDigestMs = 5000;
/**
 * Interval between digest exchanges while the table changes, and how long this
 * shorter interval applies after a change. Updates are dropped once most nodes
 * have them; a node that missed one should not wait for the regular exchange.
 */
const activeDigestMs = 5000;
const activeMs = 15_000;
/**
 * Shortest time between two exchanges with revived members. After a partition
 * each probe revives some; one exchange for each sent every record 20 times.
 */
const reunitedMs = 5000;
/** Shortest time between two exchanges with unknown senders. */
const unknownSenderMs = 15_000;
/** Number of alternative members in a `busy` reply. */
const alternativeSeeds = 3;

/** Joins through a seed and synchronizes tables by digests. @internal */
export class TableExchange {
  readonly #parts: ProtocolParts;
  readonly #join = new JoinClient();
  readonly #tables = new TableServer();
  readonly #reconciler: Reconciler;
  #unknownSenderAt = -Infinity;
  #reunitedAt = -Infinity;
  #digestAt = -Infinity;
  #activeUntil = -Infinity;
  #seedAt = -Infinity;

  constructor(parts: ProtocolParts) {
    this.#parts = parts;
    this.#reconciler = new Reconciler(parts, (updates, now) =>
      this.apply(updates, now),
    );
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

  /** Joins through the given seeds, without this node's own address. */
  setSeeds(seeds: readonly string[], now: number): void {
    const {own, rng} = this.#parts;
    const others = seeds.filter(s => s !== own.value.address);
    this.#join.start(others, now, rng);
  }

  /** Runs due joins and exchanges. Returns a seed to probe, or null. */
  tick(now: number): string | null {
    const {rng, out, spreader} = this.#parts;
    const seed = this.#join.poll(now, rng);
    if (seed !== null) out.send(seed, {k: 'join', u: [spreader.ownTuple]});
    if (now >= this.#digestAt) this.#exchange(now);
    return now >= this.#seedAt ? this.#unknownSeed(now) : null;
  }

  /** Applies updates. Changes bring the next digest exchange forward. */
  apply(updates: readonly Update[], now: number): Applied {
    const {spreader, rng} = this.#parts;
    const applied = spreader.apply(updates, now);
    if (applied.fresh.length > 0) this.#extendActivity(now);
    if (applied.bulk) {
      const soon = now + rng.float() * bulkDigestMs;
      this.#digestAt = Math.min(this.#digestAt, soon);
    }
    if (applied.revived.length > 0 && now >= this.#reunitedAt) {
      this.#reunitedAt = now + reunitedMs;
      this.#reconciler.sendDigest(rng.pick(applied.revived));
    }
    return applied;
  }

  /**
   * Starts an exchange with the sender of an ack if the table lacks its record:
   * it may belong to a separate cluster. The rate is limited because most acks
   * come from unknown senders after a mass restart.
   */
  onUnknownSender(from: string, now: number): void {
    if (now < this.#unknownSenderAt) return;
    this.#unknownSenderAt = now + unknownSenderMs;
    this.#reconciler.sendDigest(from);
  }

  /** Ignored before the join: the full table brings the missing records. */
  onDigest(from: string, digest: readonly number[]): void {
    if (this.joined) this.#reconciler.onDigest(from, digest);
  }

  onSums(from: string, sums: GossipMessageOf<'sums'>, now: number): void {
    this.#reconciler.onSums(from, sums, now);
  }

  onWant(from: string, hashes: readonly number[]): void {
    this.#reconciler.onWant(from, hashes);
  }

  onDiff(from: string, diff: GossipMessageOf<'diff'>, now: number): void {
    this.#reconciler.onDiff(from, diff, now);
  }

  onJoin(from: string, updates: readonly Update[], now: number): void {
    const {options, out, spreader, table} = this.#parts;
    if (!this.#tables.tryServe(now, options.tablesPerSecond)) {
      const others = spreader.peers(alternativeSeeds).map(peer => peer.address);
      const to = others.filter(address => address !== from);
      out.send(from, {k: 'busy', ms: options.retryAfterMs, to});
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

  onBusy({ms, to}: GossipMessageOf<'busy'>, now: number): void {
    const {own, rng} = this.#parts;
    const others = to.filter(address => address !== own.value.address);
    this.#join.refused(ms, others, now, rng);
  }

  #extendActivity(now: number): void {
    const soon = now + activeDigestMs * (0.5 + this.#parts.rng.float());
    this.#activeUntil = now + activeMs;
    this.#digestAt = Math.min(this.#digestAt, soon);
  }

  #exchange(now: number): void {
    const {spreader, rng, options} = this.#parts;
    const isActive = now < this.#activeUntil;
    const everyMs = isActive ? activeDigestMs : options.digestMs;
    this.#digestAt = now + everyMs * (0.5 + rng.float());
    const [peer] = spreader.peers(1);
    if (peer) this.#reconciler.sendDigest(peer.address);
    else this.#join.restart(now);
  }

  /** A seed that is not a live member, as it may be in a separate cluster. */
  #unknownSeed(now: number): string | null {
    const {rng, options, table} = this.#parts;
    this.#seedAt = now + options.reunionMs * (0.5 + rng.float());
    const seed = this.#join.anySeed(rng);
    return seed === null || table.byAddress(seed) ? null : seed;
  }
}
