import type {ApplyResult} from './dissemination.js';
import type {ProtocolContext} from './failure-detector.js';
import {NODE_STATES} from './instance-record.js';
import type {InstanceRecord} from './instance-record.js';
import {isLive} from './member-table.js';
import type {GossipMessageOf} from './messages.js';
import {decodeRecord, encodeRecord, isSuspicion} from './update.js';
import type {Update} from './update.js';

/** Time to wait for the records requested from one peer. */
const requestTimeoutMs = 1000;

/** Record hashes of a peer, stored until the requested records arrive. */
interface PeerHashes {
  readonly from: string;
  readonly buckets: ReadonlySet<number>;
  readonly hashes: ReadonlySet<number>;
}

/**
 * Synchronizes the tables of two nodes. The nodes exchange the hashes of the
 * differing buckets first (4 bytes per record), then only the records that one
 * side lacks. The messages are digest, sums, want, diff and a diff in return.
 *
 * @internal
 */
export class Reconciler {
  readonly #context: ProtocolContext;
  readonly #apply: (updates: readonly Update[], now: number) => ApplyResult;
  #peerHashes: PeerHashes | null = null;
  #requestedAt = -Infinity;

  constructor(
    context: ProtocolContext,
    apply: (updates: readonly Update[], now: number) => ApplyResult,
  ) {
    this.#context = context;
    this.#apply = apply;
  }

  sendDigest(to: string): void {
    const {out, table} = this.#context;
    out.send(to, {k: 'digest', b: table.digest()});
  }

  onDigest(from: string, digest: readonly number[]): void {
    const {out, table} = this.#context;
    const own = table.digest();
    const b = [...own.keys()].filter(i => own[i] !== digest[i]);
    if (b.length === 0) return;
    const h = [...table.hashesIn(new Set(b)).keys()];
    out.send(from, {k: 'sums', b, h});
  }

  /** Ignored while requested records are due: other peers send the same. */
  onSums(from: string, {b, h}: GossipMessageOf<'sums'>, now: number): void {
    if (this.#peerHashes && now - this.#requestedAt < requestTimeoutMs) return;
    const {out, table} = this.#context;
    const buckets = new Set(b);
    const own = table.hashesIn(buckets);
    const missing = h.filter(hash => !own.has(hash));
    const left = missing.flatMap(hash => this.#leftRecord(hash));
    if (left.length > 0) this.#sendRecords(from, left);
    const wanted = missing.filter(hash => !isLeft(table.byHash(hash)));
    this.#peerHashes = {from, buckets, hashes: new Set(h)};
    this.#requestedAt = now;
    if (wanted.length > 0) out.send(from, {k: 'want', h: wanted});
    else this.#sendLacking(from);
  }

  onWant(from: string, hashes: readonly number[]): void {
    const {out, table} = this.#context;
    const known = hashes.flatMap(hash => table.byHash(hash) ?? []);
    const u = known.filter(isLive).map(encodeRecord);
    out.send(from, {k: 'diff', u, ask: true});
  }

  onDiff(from: string, {u, ask}: GossipMessageOf<'diff'>, now: number): void {
    this.#apply(u, now);
    if (ask) this.#sendLacking(from);
    // The sender still has these members as live.
    const left = u.filter(isLiveUpdate).flatMap(([nodeId]) => {
      const record = this.#context.table.get(nodeId);
      return record && isLeft(record) ? [record] : [];
    });
    if (left.length > 0) this.#sendRecords(from, left);
  }

  /**
   * Sends the records that the peer lacks. Called after its records were
   * applied, because they may have replaced some records of this table.
   */
  #sendLacking(to: string): void {
    const peerHashes = this.#peerHashes;
    if (peerHashes?.from !== to) return;
    this.#peerHashes = null;
    const own = this.#context.table.hashesIn(peerHashes.buckets);
    const lacking = [...own].filter(([hash]) => !peerHashes.hashes.has(hash));
    if (lacking.length > 0) {
      this.#sendRecords(
        to,
        lacking.map(([, record]) => record),
      );
    }
  }

  #sendRecords(to: string, records: readonly InstanceRecord[]): void {
    const u = records.map(encodeRecord);
    this.#context.out.send(to, {k: 'diff', u, ask: false});
  }

  #leftRecord(hash: number): InstanceRecord[] {
    const record = this.#context.table.byHash(hash);
    return record && isLeft(record) ? [record] : [];
  }
}

function isLiveUpdate(update: Update): boolean {
  return !isSuspicion(update) && isLive(decodeRecord(update));
}

function isLeft(record: InstanceRecord | undefined): boolean {
  return record?.state === NODE_STATES.left;
}
