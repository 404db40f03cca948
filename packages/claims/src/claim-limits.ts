/** Bounds of one partition. @public */
export interface ClaimLimits {
  /**
   * Least time between two appends, in milliseconds. With 64 partitions 250 ms
   * bounds the fleet to 256 writes a second; 50 ms reached 999 at 1,000 begins
   * a second, over the store's rate.
   */
  readonly intervalMs: number;
  /** Begins wait at most this long for an uncertain append. */
  readonly settleMs: number;
  /**
   * Most time between two reads of an uncertain append. Half of `settleMs`, so
   * that a begin that arrives at the end of an outage is decided in time.
   */
  readonly maxReadBackMs: number;
  /** Least time between two lists for finishes without a known claim. */
  readonly reloadMs: number;
  /** Claims are remembered this long. */
  readonly retentionMs: number;
  /** Claims in memory; further begins are refused as not run. */
  readonly maxClaims: number;
  /** Waiting begins, and waiting finishes. */
  readonly maxPending: number;
  /** Begins in one segment. */
  readonly maxBatch: number;
  /** Size of the finishes in one segment. */
  readonly maxSegmentBytes: number;
  /** Memory for answers. */
  readonly maxAnswerBytes: number;
  /** Number of segments from which the oldest are folded. */
  readonly foldAt: number;
  /** Segments folded at once; etcd allows 128 operations per transaction. */
  readonly foldCount: number;
  /** Size of the segments folded at once. */
  readonly foldBytes: number;
}

/**
 * A segment holds at most 400 KB of finishes, 256 KB of folded records and
 * 1,000 begins of about 200 bytes, which is under the store's 1 MB.
 *
 * @public
 */
export const defaultClaimLimits: ClaimLimits = {
  intervalMs: 250,
  settleMs: 2_000,
  maxReadBackMs: 1_000,
  reloadMs: 1_000,
  retentionMs: 24 * 60 * 60 * 1_000,
  maxClaims: 100_000,
  maxPending: 5_000,
  maxBatch: 1_000,
  maxSegmentBytes: 400_000,
  maxAnswerBytes: 4_000_000,
  foldAt: 128,
  foldCount: 100,
  foldBytes: 256_000,
};
