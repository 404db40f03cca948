import type {MovePolicy} from './move-policy.js';

/** Share of the first step. @public */
export const firstShare = 0.01;

/** A share may at most double in one step. */
const maxFactor = 2;

/** Calls that a share must have brought if the gates work at all. */
const expectedCallsForDoubt = 10;

/** What the planner knows of a running move. Times in milliseconds. @public */
export interface PlannerInput {
  readonly share: number;
  /** Time since the present share was set. */
  readonly atShareMs: number;
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
  if (input.share < firstShare && input.capacityShare >= firstShare) {
    return {kind: 'setShare', share: firstShare, reason: 'ready again'};
  }
  if (isTooLate(input, policy)) {
    return {
      kind: 'takeBack',
      reason:
        `the deadline is in ${seconds(input.toDeadlineMs)} and cannot be met ` +
        `at a safe pace from ${percent(input.share)}`,
    };
  }
  return planStep(input, policy);
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
 * by 1/sqrt(share): a small share brings calls slowly, and time there exposes
 * the fewest calls to a bad version.
 */
function allottedMs(input: PlannerInput, policy: MovePolicy): number {
  const weights = sharesFrom(input.share).map(s => 1 / Math.sqrt(s));
  const sum = weights.reduce((a, b) => a + b, 0);
  // The time already spent at this share belongs to the plan of this share.
  const total =
    (input.toDeadlineMs + input.atShareMs) * (1 - policy.margin) -
    policy.soakMs;
  return Math.max(policy.minStepMs, (total * (weights[0] ?? 0)) / sum);
}

/** True when even the shortest steps and the soak end after the deadline. */
function isTooLate(input: PlannerInput, policy: MovePolicy): boolean {
  const later = sharesFrom(input.share).length - 1;
  const rest = Math.max(0, policy.minStepMs - input.atShareMs);
  const needed = rest + later * policy.minStepMs + policy.soakMs;
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
