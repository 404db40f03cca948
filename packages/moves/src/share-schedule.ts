import type {MovePolicy} from './move-policy.js';
import type {PlannerInput} from './planner-input.js';

/** Share of the first step. @public */
export const firstShare = 0.01;

/**
 * Last share before 100%. The old version keeps the remaining calls as a
 * control until the hold ends, so a fault that begins near the full load is
 * compared with calls of the same seconds. With 10% of 20 to 200 calls/s as
 * control, an error rate of 20% is detected in 18 s and doubled latencies in 20
 * s (medians of 10 trials).
 *
 * @public
 */
export const controlShare = 0.9;

/** A share may at most double per step. */
const maxGrowthFactor = 2;

/**
 * When the deadline sets the pace, the time at a share is proportional to
 * share^-1.5.
 */
const paceExponent = 1.5;

/**
 * Time before the deadline that stays free for a store outage of 2 minutes and
 * the new lease after it. The margin of the policy is a fraction of the
 * remaining time and shrinks to 40 s in the last steps, so it is not enough
 * alone.
 */
const outageReserveMs = 150_000;

/**
 * Time between steps back to a share that the move has already reached.
 *
 * @internal
 */
export const recoveryStepMs = 2_000;

/**
 * Planned time at the current share when the deadline sets the pace. The time
 * is weighted by share^-1.5. With 1/share, every share would get the same
 * number of calls to the new version. Weights of 1/sqrt(share) spend so much
 * time near 8% that a version which is slow under load gets 2.5% of the calls
 * before the stop.
 */
export function stepDurationMs(
  input: PlannerInput,
  policy: MovePolicy,
): number {
  const weights = sharesFrom(input.share).map(s => s ** -paceExponent);
  const sum = weights.reduce((a, b) => a + b, 0);
  // The time already spent at this share is part of its planned time.
  const left = input.toDeadlineMs + input.atShareMs;
  const usable = left - Math.max(left * policy.margin, outageReserveMs);
  // The minimum step times are reserved first. Otherwise short deadlines leave
  // too little time for the last steps, and good moves are taken back. Shares
  // below the control share also reserve the time of its hold.
  const controlMs = input.share < controlShare ? policy.controlMs : 0;
  const fixed = policy.soakMs + controlMs;
  const spare = usable - fixed - weights.length * policy.minStepMs;
  return policy.minStepMs + (Math.max(0, spare) * (weights[0] ?? 0)) / sum;
}

/**
 * True when the move cannot meet the deadline even with minimum step times.
 *
 * @internal
 */
export function isTooLate(input: PlannerInput, policy: MovePolicy): boolean {
  const present = Math.max(0, policy.minStepMs - input.atShareMs);
  const later = sharesFrom(input.share)
    .slice(1)
    .map(s => (s < input.reached ? recoveryStepMs : policy.minStepMs));
  const steps = later.reduce((sum, ms) => sum + ms, present);
  const needed = steps + policy.soakMs;
  return needed > input.toDeadlineMs;
}

/** Remaining shares below 100%, the current one first. */
function sharesFrom(share: number): number[] {
  const shares: number[] = [];
  for (let s = Math.max(share, firstShare); s < 1; s = nextShare(s)) {
    shares.push(s);
  }
  return shares;
}

/**
 * The share that follows `share`, before the limit of the capacity.
 *
 * @internal
 */
export function nextShare(share: number): number {
  if (share < firstShare) return firstShare;
  const limit = share < controlShare ? controlShare : 1;
  return Math.min(limit, share * maxGrowthFactor);
}
