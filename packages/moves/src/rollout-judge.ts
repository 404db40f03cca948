import type {RolloutEvidence, SideCounts} from './rollout-evidence.js';

/** Why a version is taken back. @public */
export const ROLLOUT_FAULTS = {
  errors: 'errors',
  slow: 'slow',
} as const;

/** One of the values of {@link ROLLOUT_FAULTS}. @public */
export type RolloutFault = (typeof ROLLOUT_FAULTS)[keyof typeof ROLLOUT_FAULTS];

/** What speaks against a version. @public */
export interface RolloutFinding {
  readonly fault: RolloutFault;
  readonly route: string;
  readonly fresh: SideCounts;
  readonly old: SideCounts;
}

/** Fewer failures may be chance. */
const minBad = 4;
/** Share of failures from which a version is bad, whatever the old one has. */
const badShare = 0.1;
/** Failures that a version may have per failure of the old one. */
const badRatio = 3;
/**
 * Failures beyond the share of the old version that count even where the old one
 * fails often, for example in an overload.
 */
const badExcess = 0.25;
/** Failures from which such an excess is no chance. */
const manyBad = 8;
/** Fewer times say little about the mean. */
const minTimes = 8;
/** Times of cold upstreams are about twice those of warm ones. */
const slowRatio = 2.6;
/** Added to the old version's time, so that short calls are not judged. */
const slowSlackMs = 25;

/**
 * Compares the new with the old version on each route. Load pattern: a small
 * share of the calls for about ten seconds, in which a bad version fails or
 * slows down a part of its answers on at least one route.
 *
 * @returns The first fault; null if the version looks as good as the old one.
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
