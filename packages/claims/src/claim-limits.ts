/** Limits of one partition. @public */
export interface ClaimLimits {
  /**
   * Minimum time between two appends, in milliseconds. With 64 partitions,
   * 250 ms limits the fleet to 256 writes per second. With 50 ms, 1,000 begins
   * per second caused 999 writes per second, more than the store sustains.
   */
  readonly minAppendIntervalMs: number;
  /** A begin waits at most this long while the outcome of an append is unknown. */
  readonly unknownOutcomeTimeoutMs: number;
  /**
   * Maximum time between two reads of an append whose outcome is unknown. It is
   * half of `unknownOutcomeTimeoutMs`, so that a begin that arrives at the end
   * of an outage is decided before it times out.
   */
  readonly maxReadBackIntervalMs: number;
  /**
   * Minimum time between two reloads of the log. A reload is needed if a finish
   * does not match a known claim.
   */
  readonly minReloadIntervalMs: number;
  /** Time for which a claim is kept after its grant. */
  readonly retentionMs: number;
  /**
   * Maximum number of claims in memory. Further begins are refused as not run,
   * with `limitReached`.
   */
  readonly maxClaims: number;
  /** Maximum number of pending begins, and of pending finishes. */
  readonly maxPending: number;
  /** Maximum number of begins in one segment. */
  readonly maxSegmentBegins: number;
  /** Maximum size of the finishes in one segment. */
  readonly maxSegmentFinishBytes: number;
  /** Maximum total size of the stored responses in memory. */
  readonly maxStoredResponseBytes: number;
  /** Number of segments from which the oldest are compacted. */
  readonly compactAtSegments: number;
  /**
   * Maximum number of segments per compaction; etcd allows 128 operations per
   * transaction.
   */
  readonly maxCompactedSegments: number;
  /** Maximum size of the segments per compaction. */
  readonly maxCompactedBytes: number;
}

/**
 * A segment holds at most 400 KB of finishes, 256 KB of compacted records and
 * 1,000 begins of about 200 bytes each, which is less than the store's limit of
 * 1 MB.
 *
 * @public
 */
export const defaultClaimLimits: ClaimLimits = {
  minAppendIntervalMs: 250,
  unknownOutcomeTimeoutMs: 2_000,
  maxReadBackIntervalMs: 1_000,
  minReloadIntervalMs: 1_000,
  retentionMs: 24 * 60 * 60 * 1_000,
  maxClaims: 100_000,
  maxPending: 5_000,
  maxSegmentBegins: 1_000,
  maxSegmentFinishBytes: 400_000,
  maxStoredResponseBytes: 4_000_000,
  compactAtSegments: 128,
  maxCompactedSegments: 100,
  maxCompactedBytes: 256_000,
};
