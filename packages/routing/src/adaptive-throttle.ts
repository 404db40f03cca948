import type {RandomSource} from '@verbenabeam/core';
import {ExpiringMap} from './expiring-map.js';
import {Smoothed} from './smoothed.js';

/** How the instances decided on a call. @public */
export const THROTTLE_OUTCOMES = {
  /** An instance ran it, or may have. */
  accepted: 'accepted',
  /** All instances that were asked refused it because of load. */
  refused: 'refused',
  /** It ended for another reason. */
  unknown: 'unknown',
} as const;

/** One of the values of {@link THROTTLE_OUTCOMES}. @public */
export type ThrottleOutcome =
  (typeof THROTTLE_OUTCOMES)[keyof typeof THROTTLE_OUTCOMES];

/** Why a call is turned away. @public */
export interface ThrottleRejection {
  /** Time after which to return, in ms. */
  readonly retryAfterMs: number;
  /** Weight of the calls of its group of late, and of those accepted. */
  readonly calls: number;
  readonly accepted: number;
}

/** Settings of {@link AdaptiveThrottle}. @public */
export interface AdaptiveThrottleOptions {
  readonly random: RandomSource;
  /**
   * Calls that are sent for each one that is accepted; default 1.3. More finds
   * free capacity sooner, less spares work.
   */
  readonly sentPerAccepted?: number;
  /** Time in which a counted call loses half of its weight, in ms; default 300. */
  readonly halfLifeMs?: number;
}

const defaults = {sentPerAccepted: 1.3, halfLifeMs: 300};
/** Calls that are sent in any case while none is accepted, in weight. */
const leastSent = 2;
/** Groups of calls that are remembered, and for how long without a call. */
const maxGroups = 2_000;
const rememberedMs = 60_000;
/** Told while no instance has named a time, in ms. */
const initialRetryAfterMs = 50;
const retryAfterSmoothing = 0.1;

interface Group {
  /** Weight of the calls that ended or were turned away. */
  calls: number;
  accepted: number;
  /** Calls that were sent and have not ended. */
  open: number;
  countedAt: number;
  readonly retryAfterMs: Smoothed;
}

/**
 * Turns calls away at the entry node whose refusal by the instances is nearly
 * certain. Load pattern: an overload that lasts, in which most calls are refused
 * and their way to an instance and back takes processor time from the calls that
 * are served. Of each group, such as a route, a fixed multiple of what the
 * instances accept is sent; the rest is turned away by chance. The instances stay
 * full, and once they accept more, more is sent.
 *
 * @public
 */
export class AdaptiveThrottle {
  readonly #random: RandomSource;
  readonly #sentPerAccepted: number;
  readonly #halfLifeMs: number;
  readonly #groups = new ExpiringMap<Group>(maxGroups, rememberedMs);

  constructor(options: AdaptiveThrottleOptions) {
    this.#random = options.random;
    this.#sentPerAccepted = options.sentPerAccepted ?? defaults.sentPerAccepted;
    this.#halfLifeMs = options.halfLifeMs ?? defaults.halfLifeMs;
  }

  /** Decides on a call: null if it is sent, which must be followed by `ended`. */
  rejectionFor(name: string, now: number): ThrottleRejection | null {
    const group = this.#group(name, now);
    // An open call counts as accepted: a refusal takes a few milliseconds, an
    // answer many times as long.
    const accepted = group.accepted + group.open;
    const calls = group.calls + group.open;
    const excess = calls - this.#sentPerAccepted * accepted - leastSent;
    if (excess > 0 && this.#random.float() < excess / (calls + 1)) {
      group.calls++;
      return {retryAfterMs: group.retryAfterMs.value, calls, accepted};
    }
    group.open++;
    return null;
  }

  /** @param retryAfterMs - Time to return that an instance named, if one did. */
  recordOutcome(
    name: string,
    outcome: ThrottleOutcome,
    now: number,
    retryAfterMs?: number,
  ): void {
    const group = this.#group(name, now);
    group.open = Math.max(0, group.open - 1);
    if (outcome === THROTTLE_OUTCOMES.unknown) return;
    group.calls++;
    if (outcome === THROTTLE_OUTCOMES.accepted) group.accepted++;
    if (retryAfterMs !== undefined) group.retryAfterMs.add(retryAfterMs);
  }

  /** The group with its counts as of now. */
  #group(name: string, now: number): Group {
    const known = this.#groups.get(name, now) ?? newGroup(now);
    this.#groups.set(name, known, now);
    const ageMs = Math.max(0, now - known.countedAt);
    const left = 2 ** (-ageMs / this.#halfLifeMs);
    known.calls *= left;
    known.accepted *= left;
    known.countedAt = now;
    return known;
  }
}

/**
 * Group of a call. Callers that return are served last, so their calls are
 * counted apart.
 *
 * @param waitedMs - Time since the first attempt; 0 for a new caller.
 * @public
 */
export function throttleGroup(route: string, waitedMs: number): string {
  return waitedMs > 0 ? `${route} again` : route;
}

function newGroup(now: number): Group {
  return {
    calls: 0,
    accepted: 0,
    open: 0,
    countedAt: now,
    retryAfterMs: new Smoothed(initialRetryAfterMs, retryAfterSmoothing),
  };
}
