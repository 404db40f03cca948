import type {RolloutEvidence, SideCounts} from './rollout-evidence.js';

/** Reasons to take a version back. @public */
export const ROLLOUT_FAULTS = {
  errors: 'errors',
  slow: 'slow',
} as const;

/** One of the values of {@link ROLLOUT_FAULTS}. @public */
export type RolloutFault = (typeof ROLLOUT_FAULTS)[keyof typeof ROLLOUT_FAULTS];

/** A fault of the new version, with the counts that show it. @public */
export interface RolloutFinding {
  readonly fault: RolloutFault;
  readonly route: string;
  readonly fresh: SideCounts;
  readonly old: SideCounts;
}

/** Minimum number of failures; fewer may be chance. */
const minBad = 4;
/** Failure rate that a version may have whatever the old version has. */
const badShare = 0.1;
/** Tolerated ratio of the failure rates, new to old version. */
const badRatio = 3;
/**
 * Excess over the failure rate of the old version that counts even where the
 * old version fails often, for example in an overload.
 */
const badExcess = 0.25;
/** Minimum number of failures for such an excess; fewer may be chance. */
const manyBad = 8;
/** Minimum number of durations; fewer give no reliable mean. */
const minTimes = 8;
/**
 * Tolerated ratio of mean durations; cold upstreams take about twice as long as
 * warm ones.
 */
const slowRatio = 2.6;
/**
 * Added to the mean duration of the old version, so short calls are not
 * compared.
 */
const slowSlackMs = 25;

/**
 * Compares the new version with the old one on each route. A rollout sends the
 * new version a small share of the calls for about ten seconds. In this time, a
 * bad version fails or delays a part of its responses on at least one route.
 *
 * @returns The first fault; null if the new version is as good as the old one.
 * @public
 */
export function analyzeRollout(
  evidence: RolloutEvidence,
): RolloutFinding | null {
  for (const [route, {fresh, old}] of evidence.routes) {
    if (hasErrors(fresh, old)) {
      return {fault: ROLLOUT_FAULTS.errors, route, fresh, old};
    }
    if (isSlow(fresh, old)) {
      return {fault: ROLLOUT_FAULTS.slow, route, fresh, old};
    }
  }
  return null;
}

function hasErrors(fresh: SideCounts, old: SideCounts): boolean {
  if (fresh.bad < minBad) return false;
  const share = fresh.bad / fresh.answered;
  const usual = (old.bad + 1) / (old.answered + 1);
  if (share <= badShare) return false;
  if (share > badRatio * usual) return true;
  return fresh.bad >= manyBad && share > usual + badExcess;
}

function isSlow(fresh: SideCounts, old: SideCounts): boolean {
  if (fresh.answered < minTimes || old.answered < minTimes) return false;
  const mean = fresh.totalMs / fresh.answered;
  const usual = old.totalMs / old.answered;
  return mean > slowRatio * usual + slowSlackMs;
}
