import type {MovePolicy} from './move-policy.js';

/** Share of the first step. @public */
export const firstShare = 0.01;

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

/** Time between steps on the way back to a share that was reached. */
const returnStepMs = 2_000;

/** Calls that a share must have brought if the gates work at all. */
const expectedCallsForDoubt = 10;

/** What the planner knows of a running move. Times in milliseconds. @public */
export interface PlannerInput {
  readonly share: number;
  /** Highest share of the move so far. */
  readonly reached: number;
  /** Time spent at the present share, also before a loss of capacity. */
  readonly atShareMs: number;
  /** Time since the last change of the share. */
  readonly sinceChangeMs: number;
  /** Time to the deadline; negative after it. */
  readonly toDeadlineMs: number;
  /** False while a test has some evidence against the new version. */
  readonly clean: boolean;
  /** New calls at this share, of the route with the fewest. */
  readonly fewestRouteCalls: number;
  /** New calls at this share over all routes. */
  readonly newCalls: number;
  /** Calls of both versions at this share. */
  readonly allCalls: number;
  /** Largest share that the ready instances of the new version carry, 0 to 1. */
  readonly capacityShare: number;
}

/** What to do with the share. @public */
export type Plan =
  | {readonly kind: 'hold'; readonly reason: string}
  | {readonly kind: 'setShare'; readonly share: number; readonly reason: string}
  | {readonly kind: 'done'; readonly reason: string}
  | {readonly kind: 'takeBack'; readonly reason: string};

/** Plans the next share of a running move. @public */
export function planShare(input: PlannerInput, policy: MovePolicy): Plan {
  if (input.capacityShare < input.share) {
    return {
      kind: 'setShare',
      share: input.capacityShare,
      reason: 'lowered to the ready capacity of the new version',
    };
  }
  if (input.share >= 1) return planSoak(input, policy);
  if (isTooLate(input, policy)) {
    return {
      kind: 'takeBack',
      reason:
        `the deadline is in ${seconds(input.toDeadlineMs)} and cannot be met ` +
        `at a safe pace from ${percent(input.share)}`,
    };
  }
  if (input.share < Math.min(input.reached, input.capacityShare)) {
    return planReturn(input);
  }
  return planStep(input, policy);
}

/**
 * Climbs back after a loss of ready capacity. The shares up to the one that
 * was reached had their evidence before; asking for it again would let an
 * instance that restarts now and then use up the time to the deadline.
 */
function planReturn(input: PlannerInput): Plan {
  if (!input.clean) return hold('some evidence against the new version');
  if (input.sinceChangeMs < returnStepMs) return hold('returning in steps');
  const limit = Math.min(input.reached, input.capacityShare);
  return {
    kind: 'setShare',
    share: Math.min(nextShare(input.share), limit),
    reason: 'ready capacity of the new version is back',
  };
}

function planSoak(input: PlannerInput, policy: MovePolicy): Plan {
  if (input.atShareMs < policy.soakMs) return hold('soak time at 100%');
  if (!input.clean) return hold('some evidence against the new version');
  return {kind: 'done', reason: `held at 100% for ${seconds(policy.soakMs)}`};
}

function planStep(input: PlannerInput, policy: MovePolicy): Plan {
  const share = Math.min(nextShare(input.share), input.capacityShare);
  if (share <= input.share) return hold('ready capacity of the new version');
  if (!input.clean) return hold('some evidence against the new version');
  if (input.atShareMs < policy.minStepMs) return hold('shortest step time');
  if (input.fewestRouteCalls >= policy.callsPerStep) {
    return {
      kind: 'setShare',
      share,
      reason: `no fault in ${String(input.newCalls)} calls`,
    };
  }
  if (input.atShareMs < allottedMs(input, policy)) {
    return hold('more calls are needed');
  }
  if (isUnreached(input)) return hold('no calls reach the new version');
  return {
    kind: 'setShare',
    share,
    reason:
      `paced by the deadline: no fault in ${String(input.newCalls)} calls, ` +
      `fewer than needed`,
  };
}

/**
 * Time for the present share when the deadline sets the pace. It is weighted
 * by 1/share, so that every share gets the same number of new calls. Weights of
 * 1/sqrt(share) spent so much time near 8% that a version which is slow under
 * load got 2.5% of the calls before the stop.
 */
function allottedMs(input: PlannerInput, policy: MovePolicy): number {
  const weights = sharesFrom(input.share).map(s => s ** -paceExponent);
  const sum = weights.reduce((a, b) => a + b, 0);
  // The time already spent at this share belongs to the plan of this share.
  const left = input.toDeadlineMs + input.atShareMs;
  const usable = left - Math.max(left * policy.margin, outageReserveMs);
  // The shortest step times come first: without them, short deadlines left
  // too little time for the last steps, and good moves were taken back.
  const spare = usable - policy.soakMs - weights.length * policy.minStepMs;
  return policy.minStepMs + (Math.max(0, spare) * (weights[0] ?? 0)) / sum;
}

/** True when even the shortest steps and the soak end after the deadline. */
function isTooLate(input: PlannerInput, policy: MovePolicy): boolean {
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

function nextShare(share: number): number {
  if (share < firstShare) return firstShare;
  return Math.min(1, share * maxFactor);
}

function isUnreached(input: PlannerInput): boolean {
  const expected = input.allCalls * input.share;
  return input.newCalls === 0 && expected >= expectedCallsForDoubt;
}

function hold(reason: string): Plan {
  return {kind: 'hold', reason};
}

function seconds(ms: number): string {
  return `${String(Math.round(ms / 1000))} s`;
}

function percent(share: number): string {
  return `${String(Math.round(share * 1000) / 10)}%`;
}
