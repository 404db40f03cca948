import type {MovePolicy} from './move-policy.js';
import type {PlannerInput} from './planner-input.js';

/** Share of the first step. @public */
export const firstShare = 0.01;

/**
 * Last share before 100%. The old version keeps the rest as a control until a
 * hold ends, so a fault that begins at almost all of the load is compared with
 * calls of the same seconds. With 10% of 20 to 200 calls/s, errors of 20% and
 * doubled latencies were found in 18 and 20 s (medians of 10 trials).
 *
 * @public
 */
export const controlShare = 0.9;

/** A share may at most double in one step. */
const maxFactor = 2;

/** The deadline's pace gives a share time in proportion to its -1.5th power. */
const paceExponent = 1.5;

/**
 * Time before the deadline that the pace keeps free for a store outage of 2
 * minutes and the new lease after it. The policy's margin is a part of the time
 * that is left, so it shrank to 40 s in the last steps.
 */
const outageReserveMs = 150_000;

/**
 * Time between steps on the way back to a share that was reached.
 *
 * @internal
 */
export const returnStepMs = 2_000;

/**
 * Time for the present share when the deadline sets the pace. It is weighted
 * by 1/share, so that every share gets the same number of new calls. Weights of
 * 1/sqrt(share) spent so much time near 8% that a version which is slow under
 * load got 2.5% of the calls before the stop.
 */
export function allottedMs(input: PlannerInput, policy: MovePolicy): number {
  const weights = sharesFrom(input.share).map(s => s ** -paceExponent);
  const sum = weights.reduce((a, b) => a + b, 0);
  // The time already spent at this share belongs to the plan of this share.
  const left = input.toDeadlineMs + input.atShareMs;
  const usable = left - Math.max(left * policy.margin, outageReserveMs);
  // The shortest step times come first: without them, short deadlines left
  // too little time for the last steps, and good moves were taken back.
  // Earlier shares leave time for the hold; the control share uses it.
  const controlMs = input.share < controlShare ? policy.controlMs : 0;
  const fixed = policy.soakMs + controlMs;
  const spare = usable - fixed - weights.length * policy.minStepMs;
  return policy.minStepMs + (Math.max(0, spare) * (weights[0] ?? 0)) / sum;
}

/**
 * True when even the shortest steps and the soak end after the deadline.
 *
 * @internal
 */
export function isTooLate(input: PlannerInput, policy: MovePolicy): boolean {
  const present = Math.max(0, policy.minStepMs - input.atShareMs);
  const later = sharesFrom(input.share)
    .slice(1)
    .map(s => (s < input.reached ? returnStepMs : policy.minStepMs));
  const steps = later.reduce((sum, ms) => sum + ms, present);
  const needed = steps + policy.soakMs;
  return needed > input.toDeadlineMs;
}

/** Shares below 100% that are still to be held, the present one first. */
function sharesFrom(share: number): number[] {
  const shares: number[] = [];
  for (let s = Math.max(share, firstShare); s < 1; s = nextShare(s)) {
    shares.push(s);
  }
  return shares;
}

/** The share after `share`, as far as capacity allows. @internal */
export function nextShare(share: number): number {
  if (share < firstShare) return firstShare;
  const limit = share < controlShare ? controlShare : 1;
  return Math.min(limit, share * maxFactor);
}
