import type {Strictness} from '@verbenabeam/document';

/** Thresholds and pace of one strictness. @public */
export interface MovePolicy {
  /** Probability of a false stop over all tests of one move. */
  readonly alpha: number;
  /** Odds ratio, new to old, up to which a difference is accepted. */
  readonly toleratedOddsRatio: number;
  /** New calls that each route needs before a step forward. */
  readonly callsPerStep: number;
  /** Shortest time at one share, in milliseconds. */
  readonly minStepMs: number;
  /** Time at 100% before a move is done, in milliseconds. */
  readonly soakMs: number;
  /** Part of the time to the deadline that a forced pace keeps free. */
  readonly margin: number;
}

const alpha = 0.001;

/** Policies by `policy.strictness` of the document. @public */
export const MOVE_POLICIES: Readonly<Record<Strictness, MovePolicy>> = {
  careful: {
    alpha,
    toleratedOddsRatio: 1.2,
    callsPerStep: 120,
    minStepMs: 20_000,
    soakMs: 60_000,
    margin: 0.15,
  },
  balanced: {
    alpha,
    toleratedOddsRatio: 1.4,
    callsPerStep: 80,
    minStepMs: 15_000,
    soakMs: 45_000,
    margin: 0.25,
  },
  fast: {
    alpha,
    toleratedOddsRatio: 1.7,
    callsPerStep: 40,
    minStepMs: 10_000,
    soakMs: 30_000,
    margin: 0.4,
  },
};
