import type {ApplyResult} from './dissemination.js';
import type {ProtocolContext} from './failure-detector.js';
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
const revivedExchangeMs = 5000;
/** Shortest time between two exchanges with unknown senders. */
const unknownSenderExchangeMs = 15_000;
/** Number of alternative members in a `busy` reply. */
const alternativesPerReply = 3;

/** Joins through a seed and synchronizes tables by digests. @internal */
export class TableExchange {
  readonly #context: ProtocolContext;
  readonly #joinClient = new JoinClient();
  readonly #tableServer = new TableServer();
  readonly #reconciler: Reconciler;
  #unknownSenderExchangeAt = -Infinity;
  #revivedExchangeAt = -Infinity;
  #digestAt = -Infinity;
  #activeUntil = -Infinity;
  #seedAt = -Infinity;

  constructor(context: ProtocolContext) {
    this.#context = context;
    this.#reconciler = new Reconciler(context, (updates, now) =>
      this.apply(updates, now),
    );
  }

  get joined(): boolean {
    return this.#joinClient.joined;
  }

  start(seeds: readonly string[], now: number): void {
    const {rng, options} = this.#context;
    this.#digestAt = now + rng.float() * options.digestMs;
    this.#seedAt = now + rng.float() * options.reunionMs;
    this.setSeeds(seeds, now);
  }

  /** Joins through the given seeds, without this node's own address. */
  setSeeds(seeds: readonly string[], now: number): void {
    const {own, rng} = this.#context;
    const others = seeds.filter(s => s !== own.value.address);
    this.#joinClient.start(others, now, rng);
  }

  /** Runs due joins and exchanges. Returns a seed to probe, or null. */
  tick(now: number): string | null {
    const {rng, out, dissemination} = this.#context;
    const seed = this.#joinClient.poll(now, rng);
    if (seed !== null) out.send(seed, {k: 'join', u: [dissemination.ownTuple]});
    if (now >= this.#digestAt) this.#startExchange(now);
    return now >= this.#seedAt ? this.#unknownSeed(now) : null;
  }

  /** Applies updates. Changes bring the next digest exchange forward. */
  apply(updates: readonly Update[], now: number): ApplyResult {
    const {dissemination, rng} = this.#context;
    const applied = dissemination.apply(updates, now);
    if (applied.fresh.length > 0) this.#extendActivity(now);
    if (applied.bulk) {
      const soon = now + rng.float() * bulkDigestMs;
      this.#digestAt = Math.min(this.#digestAt, soon);
    }
    if (applied.revived.length > 0 && now >= this.#revivedExchangeAt) {
      this.#revivedExchangeAt = now + revivedExchangeMs;
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
    if (now < this.#unknownSenderExchangeAt) return;
    this.#unknownSenderExchangeAt = now + unknownSenderExchangeMs;
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
    const {options, out, dissemination, table} = this.#context;
    if (!this.#tableServer.tryServe(now, options.tablesPerSecond)) {
      const others = dissemination
        .peers(alternativesPerReply)
        .map(peer => peer.address);
      const to = others.filter(address => address !== from);
      out.send(from, {k: 'busy', ms: options.retryAfterMs, to});
      return;
    }
    this.apply(updates, now);
    const u = table.live().map(encodeRecord);
    out.send(from, {k: 'table', u, full: this.joined});
  }

  onTable({u, full}: GossipMessageOf<'table'>, now: number): void {
    this.#joinClient.onTable(full, now, this.#context.rng);
    this.apply(u, now);
  }

  onBusy({ms, to}: GossipMessageOf<'busy'>, now: number): void {
    const {own, rng} = this.#context;
    const others = to.filter(address => address !== own.value.address);
    this.#joinClient.onBusy(ms, others, now, rng);
  }

  #extendActivity(now: number): void {
    const soon = now + activeDigestMs * (0.5 + this.#context.rng.float());
    this.#activeUntil = now + activeMs;
    this.#digestAt = Math.min(this.#digestAt, soon);
  }

  #startExchange(now: number): void {
    const {dissemination, rng, options} = this.#context;
    const isActive = now < this.#activeUntil;
    const everyMs = isActive ? activeDigestMs : options.digestMs;
    this.#digestAt = now + everyMs * (0.5 + rng.float());
    const peer = dissemination.digestPeer(options.remoteShare);
    if (peer) this.#reconciler.sendDigest(peer.address);
    else this.#joinClient.restart(now);
  }

  /** A seed that is not a live member, as it may be in a separate cluster. */
  #unknownSeed(now: number): string | null {
    const {rng, options, table} = this.#context;
    this.#seedAt = now + options.reunionMs * (0.5 + rng.float());
    const seed = this.#joinClient.randomSeed(rng);
    return seed === null || table.byAddress(seed) ? null : seed;
  }
}
