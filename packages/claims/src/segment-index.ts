import type {Txn} from '@verbenabeam/store';
import type {ClaimLimits} from './claim-limits.js';
import {checkpointKey, segmentKey} from './segment.js';

/** Segments of a partition, and the transactions that append to them. @internal */
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

  /** Transaction that appends a segment and deletes the segments it compacts. */
  appendTxn(sequence: number, value: Uint8Array, compactedUpTo: number): Txn {
    const key = segmentKey(this.#prefix, sequence);
    const checkpoint = checkpointKey(this.#prefix);
    const compares = [
      {key, revision: 0},
      {key: checkpoint, revision: this.#checkpointRevision},
    ];
    if (compactedUpTo === 0) return {compares, puts: [{key, value}]};
    const upTo = Buffer.from(String(compactedUpTo));
    return {
      compares,
      puts: [
        {key, value},
        {key: checkpoint, value: upTo},
      ],
      deletes: this.#segments
        .filter(s => s.sequence <= compactedUpTo)
        .map(s => segmentKey(this.#prefix, s.sequence)),
    };
  }

  /**
   * Returns the highest sequence number to compact, or 0. The oldest segments are
   * compacted if there are too many segments, or if all their claims are past
   * the retention. Only a prefix of the log is compacted, since a release must
   * not be removed while the grant before it remains.
   */
  chooseCompaction(wall: number): number {
    const {
      compactAtSegments,
      maxCompactedSegments,
      maxCompactedBytes,
      retentionMs,
    } = this.#limits;
    const largeSegments = this.#segments.filter(
      s => s.bytes > maxCompactedBytes / 2,
    ).length;
    const isDue =
      this.#segments.length >= compactAtSegments + 2 * largeSegments;
    let bytes = 0;
    let upTo = 0;
    for (const segment of this.#segments.slice(0, maxCompactedSegments)) {
      const expired = wall - segment.at > retentionMs;
      if (!expired) bytes += segment.bytes;
      if (!expired && (!isDue || bytes > maxCompactedBytes)) break;
      upTo = segment.sequence;
    }
    return upTo;
  }
}
