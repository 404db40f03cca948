import type {MovePolicy} from './move-policy.js';
import type {PlannerInput} from './planner-input.js';
import {
  stepDurationMs,
  controlShare,
  isTooLate,
  nextShare,
  recoveryStepMs,
} from './share-schedule.js';

/**
 * Time to the deadline that a hold after a change leaves, in multiples of the
 * soak time.
 */
const repeatedSoakFactor = 1.5;

/**
 * Expected calls to the new version from which none at all means that the calls
 * do not reach it.
 */
const minExpectedCalls = 10;

/** Decision on the share of a move. @public */
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
    const isAfterChange = input.changes > 0 && input.share >= controlShare;
    return isAfterChange ? planAfterChange(input, policy) : planRecovery(input);
  }
  return planStep(input, policy);
}

/**
 * Raises the share again after a loss of ready capacity. The shares up to
 * `reached` already have their evidence. If they needed it again, an instance
 * with occasional restarts could use up the time to the deadline.
 */
function planRecovery(input: PlannerInput): Plan {
  if (!input.clean) return hold('some evidence against the new version');
  if (input.sinceChangeMs < recoveryStepMs) return hold('returning in steps');
  const limit = Math.min(input.reached, input.capacityShare);
  return {
    kind: 'setShare',
    share: Math.min(nextShare(input.share), limit),
    reason: 'ready capacity of the new version is back',
  };
}

/**
 * Holds the control share after a change at 100%. If the rates are normal again
 * at the control share, the full share may be the cause. The move then returns
 * to 100% at once, even with some evidence against the new version, because
 * that decides it; a hold would only send more calls to a bad version.
 */
function planAfterChange(input: PlannerInput, policy: MovePolicy): Plan {
  if (input.isUsual) {
    return {
      kind: 'setShare',
      share: input.capacityShare,
      reason: 'the calls are as before the change at 100%',
    };
  }
  if (!input.clean) return hold('some evidence against the new version');
  return planControl(input, policy);
}

function planSoak(input: PlannerInput, policy: MovePolicy): Plan {
  if (input.change !== null) {
    return {kind: 'setShare', share: controlShare, reason: input.change};
  }
  if (heldMs(input) < policy.soakMs) return hold('soak time at 100%');
  if (!input.clean) return hold('some evidence against the new version');
  return {kind: 'done', reason: `held at 100% for ${seconds(policy.soakMs)}`};
}

function planStep(input: PlannerInput, policy: MovePolicy): Plan {
  const share = Math.min(nextShare(input.share), input.capacityShare);
  if (share <= input.share) return hold('ready capacity of the new version');
  if (!input.clean) return hold('some evidence against the new version');
  if (input.atShareMs < policy.minStepMs) return hold('shortest step time');
  if (share > controlShare) return planControl(input, policy);
  if (input.fewestRouteCalls >= policy.callsPerStep) {
    return {
      kind: 'setShare',
      share,
      reason: `no fault in ${String(input.newCalls)} calls`,
    };
  }
  if (input.atShareMs < stepDurationMs(input, policy)) {
    return hold('more calls are needed');
  }
  if (isMissingCalls(input)) return hold('no calls reach the new version');
  return {
    kind: 'setShare',
    share,
    reason:
      `paced by the deadline: no fault in ${String(input.newCalls)} calls, ` +
      `fewer than needed`,
  };
}

/**
 * Holds the control share until the old version has had enough calls for the
 * comparison, or until the deadline ends the hold.
 */
function planControl(input: PlannerInput, policy: MovePolicy): Plan {
  const oldCalls = input.allCalls - input.newCalls;
  const isObserved =
    heldMs(input) >= policy.controlMs && oldCalls >= policy.controlCalls;
  if (!isObserved && !isHoldOver(input, policy)) {
    return hold(`observed beside ${String(oldCalls)} calls of the old version`);
  }
  if (isMissingCalls(input)) return hold('no calls reach the new version');
  return {
    kind: 'setShare',
    share: input.capacityShare,
    reason: `no fault beside ${String(oldCalls)} calls of the old version`,
  };
}

/**
 * True when the deadline ends the hold. After a change at 100%, the hold may
 * use the time that is reserved for an outage. Otherwise it would end at once
 * in moves whose pace the deadline sets.
 */
function isHoldOver(input: PlannerInput, policy: MovePolicy): boolean {
  return input.changes > 0
    ? input.toDeadlineMs < repeatedSoakFactor * policy.soakMs
    : input.atShareMs >= stepDurationMs(input, policy);
}

/** Time at the current share; a change at 100% restarts it. */
function heldMs({changes, sinceChangeMs, atShareMs}: PlannerInput): number {
  return changes > 0 ? sinceChangeMs : atShareMs;
}

function isMissingCalls(input: PlannerInput): boolean {
  const expected = input.allCalls * input.share;
  return input.newCalls === 0 && expected >= minExpectedCalls;
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
