import {hashToUint32} from '@verbenabeam/core';
import type {InstanceRecord} from './instance-record.js';
import {keyOf} from './update.js';

/** Parts of the table digest. @public */
export const DIGEST_BUCKETS = 64;

/**
 * Hashes of the record keys of a table: one number for each bucket of live
 * members, and the node id behind each hash. @internal
 */
export class TableDigest {
  readonly #buckets = new Array<number>(DIGEST_BUCKETS).fill(0);
  readonly #idByHash = new Map<number, string>();

  /** One number per bucket. */
  get buckets(): number[] {
    return [...this.#buckets];
  }

  /** Adds a live record to its bucket or removes it. */
  toggle({nodeId}: InstanceRecord, hash: number): void {
    const bucket = bucketOf(nodeId);
    this.#buckets[bucket] = ((this.#buckets[bucket] ?? 0) ^ hash) >>> 0;
  }

  /** Notes the hash of the latest key of a node. */
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

/** Hash of a record's key; its state is not part of it. @internal */
export function hashOfKey(record: InstanceRecord): number {
  return hashToUint32(keyOf(record).join('/'));
}

/** Bucket of a node in the digest. @internal */
export function bucketOf(nodeId: string): number {
  return hashToUint32(nodeId) % DIGEST_BUCKETS;
}
