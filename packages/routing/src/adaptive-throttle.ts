import type {RandomSource} from '@verbenabeam/core';
import {ExpiringMap} from './expiring-map.js';
import {Ewma} from './ewma.js';

/** Whether the instances accepted a call. @public */
export const THROTTLE_OUTCOMES = {
  /** An instance ran the call, or may have run it. */
  accepted: 'accepted',
  /** All instances that were tried refused the call because of load. */
  refused: 'refused',
  /** The call was not sent to an instance, or was refused for a reason other than load. */
  unknown: 'unknown',
} as const;

/** One of the values of {@link THROTTLE_OUTCOMES}. @public */
export type ThrottleOutcome =
  (typeof THROTTLE_OUTCOMES)[keyof typeof THROTTLE_OUTCOMES];

/** Rejection of a call by the throttle, with the counts behind it. @public */
export interface ThrottleRejection {
  /** Time after which the caller should retry, in ms. */
  readonly retryAfterMs: number;
  /** Recent calls of the group, and how many were accepted; both decay with time. */
  readonly calls: number;
  readonly accepted: number;
}

/** Settings of {@link AdaptiveThrottle}. @public */
export interface AdaptiveThrottleOptions {
  readonly random: RandomSource;
  /**
   * Maximum ratio of sent calls to accepted calls; default 1.3. With a higher
   * value, free capacity is used sooner; with a lower value, less work is spent on
   * calls that are refused.
   */
  readonly sentPerAccepted?: number;
  /** Half-life of a counted call, in ms; default 300. */
  readonly halfLifeMs?: number;
}

const defaults = {sentPerAccepted: 1.3, halfLifeMs: 300};
/**
 * Number of calls that may be sent in addition to the multiple of the accepted
 * calls, as a decayed count. Thus some calls are sent even while none is accepted,
 * and a recovery is detected.
 */
const minSent = 2;
/** Maximum number of groups, and the time a group is kept without calls. */
const maxGroups = 2_000;
const retentionMs = 60_000;
/** Retry delay used until an instance has sent one, in ms. */
const initialRetryAfterMs = 50;
const retryAfterSmoothing = 0.1;

interface Group {
  /** Decayed count of the calls that ended or were rejected. */
  calls: number;
  accepted: number;
  /** Calls that were sent and have not ended yet. */
  open: number;
  countedAt: number;
  readonly retryAfterMs: Ewma;
}

/**
 * Client-side throttle: rejects calls at the entry node that the instances would
 * almost certainly refuse. During a lasting overload most calls are refused, and
 * forwarding them takes processor time from the calls that are served. For each
 * group of calls, such as a route, the throttle limits the sent calls to about a
 * fixed multiple of the accepted calls and rejects calls at random to keep that
 * limit. The instances stay fully used, and once they accept more calls, more
 * calls are sent.
 *
 * @public
 */
export class AdaptiveThrottle {
  readonly #random: RandomSource;
  readonly #sentPerAccepted: number;
  readonly #halfLifeMs: number;
  readonly #groups = new ExpiringMap<Group>(maxGroups, retentionMs);

  constructor(options: AdaptiveThrottleOptions) {
    this.#random = options.random;
    this.#sentPerAccepted = options.sentPerAccepted ?? defaults.sentPerAccepted;
    this.#halfLifeMs = options.halfLifeMs ?? defaults.halfLifeMs;
  }

  /**
   * Decides on a call. Null means that the call is sent; then
   * {@link AdaptiveThrottle.recordOutcome} must follow.
   */
  rejectionFor(name: string, now: number): ThrottleRejection | null {
    const group = this.#group(name, now);
    // An open call counts as accepted: a refusal arrives within a few
    // milliseconds and a response takes many times as long, so most open calls
    // were accepted.
    const accepted = group.accepted + group.open;
    const calls = group.calls + group.open;
    const excess = calls - this.#sentPerAccepted * accepted - minSent;
    if (excess > 0 && this.#random.float() < excess / (calls + 1)) {
      group.calls++;
      return {retryAfterMs: group.retryAfterMs.value, calls, accepted};
    }
    group.open++;
    return null;
  }

  /** @param retryAfterMs - Retry delay that an instance sent, if any. */
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

  /** Returns the group with its counts decayed to `now`. */
  #group(name: string, now: number): Group {
    const known = this.#groups.get(name, now) ?? newGroup(now);
    this.#groups.set(name, known, now);
    const ageMs = Math.max(0, now - known.countedAt);
    const decay = 2 ** (-ageMs / this.#halfLifeMs);
    known.calls *= decay;
    known.accepted *= decay;
    known.countedAt = now;
    return known;
  }
}

/**
 * Throttle group of a call. Retries of callers are served last, so they are
 * counted in a separate group.
 *
 * @param sinceFirstAttemptMs - Time since the first attempt of the call; 0 for a new call.
 * @public
 */
export function throttleGroup(
  route: string,
  sinceFirstAttemptMs: number,
): string {
  return sinceFirstAttemptMs > 0 ? `${route} retry` : route;
}

function newGroup(now: number): Group {
  return {
    calls: 0,
    accepted: 0,
    open: 0,
    countedAt: now,
    retryAfterMs: new Ewma(initialRetryAfterMs, retryAfterSmoothing),
  };
}
