import type {Strictness} from '@verbenabeam/document';

/** Thresholds and step times of one strictness. @public */
export interface MovePolicy {
  /** Probability of a false stop over all tests of one move. */
  readonly alpha: number;
  /** Tolerated odds ratio of failures, new to old version. */
  readonly failureOddsRatio: number;
  /**
   * Tolerated odds ratio of latencies over the p90 and p99 of the old version.
   * A machine that is 10% slower raises the odds over p99 by half if latencies
   * are log-normal with sigma 0.5, so a ratio near 1 would compare machines and
   * not versions.
   */
  readonly slowOddsRatio: number;
  /** Calls to the new version that each route needs before the share rises. */
  readonly callsPerStep: number;
  /** Shortest time at one share, in milliseconds. */
  readonly minStepMs: number;
  /** Time at the control share before 100%, in milliseconds. */
  readonly controlMs: number;
  /** Calls to the old version that the control share needs before 100%. */
  readonly controlCalls: number;
  /** Time at 100% before a move is done, in milliseconds. */
  readonly soakMs: number;
  /**
   * Fraction of the time to the deadline that stays free when the deadline sets
   * the pace.
   */
  readonly margin: number;
}

const alpha = 0.001;

/** Policies by `policy.strictness` of the document. @public */
export const MOVE_POLICIES: Readonly<Record<Strictness, MovePolicy>> = {
  careful: {
    alpha,
    failureOddsRatio: 1.5,
    slowOddsRatio: 2,
    callsPerStep: 120,
    minStepMs: 20_000,
    controlMs: 60_000,
    controlCalls: 150,
    soakMs: 60_000,
    margin: 0.15,
  },
  balanced: {
    alpha,
    failureOddsRatio: 1.75,
    slowOddsRatio: 2.5,
    callsPerStep: 80,
    minStepMs: 15_000,
    controlMs: 45_000,
    controlCalls: 120,
    soakMs: 45_000,
    margin: 0.25,
  },
  fast: {
    alpha,
    failureOddsRatio: 2,
    slowOddsRatio: 3,
    callsPerStep: 40,
    minStepMs: 10_000,
    controlMs: 30_000,
    controlCalls: 90,
    soakMs: 30_000,
    margin: 0.4,
  },
};
