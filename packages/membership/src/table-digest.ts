import {hashToUint32} from '@verbenabeam/core';
import type {InstanceRecord} from './instance-record.js';
import {keyOf} from './update.js';

/** Number of buckets in a table digest. @public */
export const DIGEST_BUCKETS = 64;

/**
 * Digest of a member table: for each bucket, the XOR of the key hashes of its
 * live members. Also maps each key hash to its node id. @internal
 */
export class TableDigest {
  readonly #buckets = new Array<number>(DIGEST_BUCKETS).fill(0);
  readonly #idByHash = new Map<number, string>();

  /** Current value of each bucket. */
  get buckets(): number[] {
    return [...this.#buckets];
  }

  /** Adds a live record to its bucket, or removes it if it is present. */
  toggle({nodeId}: InstanceRecord, hash: number): void {
    const bucket = bucketOf(nodeId);
    this.#buckets[bucket] = ((this.#buckets[bucket] ?? 0) ^ hash) >>> 0;
  }

  /** Maps the hash of a node's latest key to the node; removes the former. */
  index(nodeId: string, hash: number, former: number | undefined): void {
    if (former !== undefined) this.#idByHash.delete(former);
    this.#idByHash.set(hash, nodeId);
  }

  drop(hash: number): void {
    this.#idByHash.delete(hash);
  }

  idOf(hash: number): string | undefined {
    return this.#idByHash.get(hash);
  }
}

/** Hashes the key of a record. The state is not included. @internal */
export function hashOfKey(record: InstanceRecord): number {
  return hashToUint32(keyOf(record).join('/'));
}

/** Returns the digest bucket of a node. @internal */
export function bucketOf(nodeId: string): number {
  return hashToUint32(nodeId) % DIGEST_BUCKETS;
}
