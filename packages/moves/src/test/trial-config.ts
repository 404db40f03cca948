import {MOVE_POLICIES} from '../move-policy.js';
import type {MovePolicy} from '../move-policy.js';

/** Conditions under which a bad version fails. @internal */
export const FAULT_KINDS = [
  'atOnce',
  'later',
  'underLoad',
  'underPeakLoad',
  'oneRoute',
  'nearFullShare',
  'fromFullShare',
  'onlyFullShare',
] as const;
/** One of {@link FAULT_KINDS}. @internal */
export type FaultKind = (typeof FAULT_KINDS)[number];

/** Effects of a fault. @internal */
export const FAULT_EFFECTS = ['errors', 'slowness', 'crashes'] as const;
/** One of {@link FAULT_EFFECTS}. @internal */
export type FaultEffect = (typeof FAULT_EFFECTS)[number];

/** A fault; `size` is an error rate, a crash rate or a slowdown factor. */
export interface Fault {
  readonly kind: FaultKind;
  readonly effect: FaultEffect;
  readonly size: number;
}

/** Difficult conditions for a good version. @internal */
export const GOOD_KINDS = [
  'slowStart',
  'noisy',
  'lowTraffic',
  'crashingRequest',
  'slowerService',
] as const;
/** One of {@link GOOD_KINDS}. @internal */
export type GoodKind = (typeof GOOD_KINDS)[number];

/** Mechanisms that a trial may turn off, to show that the checks can fail. */
export interface EnabledMechanisms {
  /**
   * The controller receives failures and latencies; otherwise only numbers of
   * calls.
   */
  readonly tests: boolean;
  /** Entry nodes test their own evidence. */
  readonly localStop: boolean;
  /**
   * Stops are pushed; otherwise nodes learn of a stop from the 5 s poll of
   * records.
   */
  readonly stopPush: boolean;
  /** Repeated crashes are attributed to the request. */
  readonly crashAttribution: boolean;
  /** Latencies of cold instances do not count. */
  readonly coldFilter: boolean;
}

/** A store outage. Times in milliseconds. @internal */
export interface Outage {
  readonly at: number;
  readonly forMs: number;
}

/** All settings of one trial. @internal */
export interface TrialConfig {
  readonly seed: number;
  readonly callsPerSecond: number;
  readonly deadlineMs: number;
  readonly entryNodes: number;
  readonly policy: MovePolicy;
  readonly fault: Fault | null;
  readonly good: GoodKind | null;
  readonly mechanisms: EnabledMechanisms;
  /** A store outage; null for none. */
  readonly outage: Outage | null;
  /** Time at which the controller and its evidence are lost; null for never. */
  readonly controllerLostAt: number | null;
  /** Two controllers believe that they hold the lease. */
  readonly twoControllers: boolean;
  /** Uses the fixed-step controller instead of the one of this package. */
  readonly baseline: boolean;
}

/** Fault sizes of the trials. @internal */
export const FAULT_SIZES: Readonly<Record<FaultEffect, number>> = {
  errors: 0.2,
  slowness: 2,
  crashes: 0.2,
};

/** All mechanisms on. @internal */
export const allMechanisms: EnabledMechanisms = {
  tests: true,
  localStop: true,
  stopPush: true,
  crashAttribution: true,
  coldFilter: true,
};

/** Defaults of a trial, without its kind. @internal */
export const trialDefaults = {
  deadlineMs: 30 * 60_000,
  entryNodes: 4,
  policy: MOVE_POLICIES.careful,
  fault: null,
  good: null,
  mechanisms: allMechanisms,
  outage: null,
  controllerLostAt: null,
  twoControllers: false,
  baseline: false,
};

/** Low traffic, with a later deadline as an operator would set it. @internal */
export const lowTraffic = {callsPerSecond: 1, deadlineMs: 60 * 60_000};

/** A rate between 20 and 200 calls/s, uniform in its logarithm. @internal */
export function rateOf(uniform: number): number {
  const lowest = 20;
  const highest = 200;
  return lowest * (highest / lowest) ** uniform;
}

/** Disturbances of the controller or its store in a trial. @internal */
export const DISTURBANCES = {
  /** The store is down from just before the stop. */
  outageAtStop: 'outageAtStop',
  /** The store is down from just before the middle step. */
  outageAtStep: 'outageAtStep',
  /** The controller is lost at the middle step. */
  controllerLost: 'controllerLost',
  twoControllers: 'twoControllers',
} as const;
/** One of {@link DISTURBANCES}. @internal */
export type Disturbance = (typeof DISTURBANCES)[keyof typeof DISTURBANCES];
