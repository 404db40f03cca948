import type {Txn} from '@verbenabeam/store';
import type {ClaimLimits} from './claim-limits.js';
import {checkpointKey, segmentKey} from './segment.js';

/** Which segments of a partition exist, and what an append must compare. @internal */
export class SegmentIndex {
  readonly #prefix: string;
  readonly #limits: ClaimLimits;
  #nextSequence = 1;
  #checkpointRevision = 0;
  #segments: {sequence: number; bytes: number; at: number}[] = [];

  constructor(prefix: string, limits: ClaimLimits) {
    this.#prefix = prefix;
    this.#limits = limits;
  }

  get nextSequence(): number {
    return this.#nextSequence;
  }

  setCheckpoint(revision: number): void {
    this.#checkpointRevision = revision;
  }

  add(sequence: number, bytes: number, at: number): void {
    this.#segments.push({sequence, bytes, at});
    this.#nextSequence = sequence + 1;
  }

  removeUpTo(sequence: number): void {
    this.#segments = this.#segments.filter(s => s.sequence > sequence);
  }

  /** Transaction that appends a segment and deletes those it folds. */
  txnOf(sequence: number, value: Uint8Array, foldedUpTo: number): Txn {
    const key = segmentKey(this.#prefix, sequence);
    const checkpoint = checkpointKey(this.#prefix);
    const compares = [
      {key, revision: 0},
      {key: checkpoint, revision: this.#checkpointRevision},
    ];
    if (foldedUpTo === 0) return {compares, puts: [{key, value}]};
    const upTo = Buffer.from(String(foldedUpTo));
    return {
      compares,
      puts: [
        {key, value},
        {key: checkpoint, value: upTo},
      ],
      deletes: this.#segments
        .filter(s => s.sequence <= foldedUpTo)
        .map(s => segmentKey(this.#prefix, s.sequence)),
    };
  }

  /**
   * Folds the oldest segments when there are too many, or when all their claims
   * are past the retention. Only a prefix of the log is folded: a release must
   * never be removed while the grant before it remains.
   */
  chooseFold(wall: number): number {
    const {foldAt, foldCount, foldBytes, retentionMs} = this.#limits;
    const large = this.#segments.filter(s => s.bytes > foldBytes / 2).length;
    const isDue = this.#segments.length >= foldAt + 2 * large;
    let bytes = 0;
    let upTo = 0;
    for (const segment of this.#segments.slice(0, foldCount)) {
      const expired = wall - segment.at > retentionMs;
      if (!expired) bytes += segment.bytes;
      if (!expired && (!isDue || bytes > foldBytes)) break;
      upTo = segment.sequence;
    }
    return upTo;
  }
}
