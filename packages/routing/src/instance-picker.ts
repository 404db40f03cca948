import {CALL_CODES, MeshError} from '@verbenabeam/core';
import type {RandomSource} from '@verbenabeam/core';
import {Result} from 'true-myth';
import {InstanceStats} from './instance-stats.js';
import type {PoolPriors} from './instance-stats.js';
import type {
  Candidate,
  InstanceView,
  OutcomeReport,
  PickerOptions,
  PickLimits,
} from './picker-types.js';
import {Smoothed} from './smoothed.js';

const defaults = {
  linkMs: 3,
  slowStartMs: 10_000,
  maxFailures: 5,
  maxFailureShare: 0.5,
  ejectionMs: 1000,
};
const maxEjectedShare = 0.5;
/** A new instance gets some calls from the start, to warm up. */
const lowestSlowStartWeight = 0.05;
const initialLatencyMs = 10;
/**
 * Share of the target at which the expected time still meets it nearly always;
 * single times are up to twice as long.
 */
const comfortShare = 0.6;
/**
 * Another data centre must answer in this share of the time. Under overload all
 * of them are full, and calls that cross for small differences gain nothing.
 */
const crossingGain = 0.65;
const none: ReadonlySet<string> = new Set();

/**
 * Chooses the instance for a call by the lower expected time of two random
 * candidates. One picker serves all services of an entry node.
 *
 * @public
 */
export class InstancePicker {
  readonly #options: Required<PickerOptions>;
  readonly #stats = new Map<string, InstanceStats>();
  readonly #othersPerSlot = new Smoothed(0, 0.05);
  /** Time of a call by route. */
  readonly #latencyMs = new Map<string, Smoothed>();

  constructor(options: PickerOptions) {
    this.#options = {...defaults, ...options};
  }

  /**
   * Chooses an instance and counts a call in flight on it. Each pick must be
   * followed by one {@link InstancePicker.report}.
   *
   * @param candidates - Ready instances of the service and version.
   * @param exclude - Node ids that already failed this call.
   * @returns 1602 when no candidate is left.
   */
  pick(
    service: string,
    version: string,
    candidates: readonly Candidate[],
    now: number,
    rng: RandomSource,
    exclude: ReadonlySet<string> = none,
    limits: PickLimits = {},
  ): Result<Candidate, MeshError> {
    const usable = this.#withoutEjected(candidates, now).filter(
      c => !exclude.has(c.nodeId),
    );
    const {maxCostMs = Infinity, route = ''} = limits;
    const best = this.#choose(usable, now, rng, limits);
    const fits = best && this.#cost(best, route, now) <= maxCostMs;
    const chosen = fits ? best : null;
    if (!chosen) {
      const text = `no instance of ${service} ${version} can take the call`;
      const details = {candidates: candidates.length, excluded: exclude.size};
      return Result.err(new MeshError(CALL_CODES.noInstance, text, details));
    }
    this.#statsOf(chosen.nodeId).inFlight++;
    return Result.ok(chosen);
  }

  /** Records how a picked call ended. */
  report(report: OutcomeReport, now: number): void {
    const stats = this.#statsOf(report.nodeId);
    const times = this.#timesOf(report.route ?? '');
    if (report.outcome === 'ok') times.add(report.latencyMs);
    stats.record(report, this.#options, times.value, now);
    const others = stats.othersPerSlot;
    if (others !== null) this.#othersPerSlot.add(others);
  }

  /** Forgets instances that are no longer members and have no calls. */
  retain(nodeIds: ReadonlySet<string>): void {
    for (const [nodeId, stats] of this.#stats) {
      if (!nodeIds.has(nodeId) && stats.inFlight === 0) {
        this.#stats.delete(nodeId);
      }
    }
  }

  /** Current view of the instances, for status and metrics. */
  view(candidates: readonly Candidate[], now: number): InstanceView[] {
    return candidates.map(candidate => {
      const stats = this.#statsOf(candidate.nodeId);
      return {
        nodeId: candidate.nodeId,
        inFlight: stats.inFlight,
        ejectedUntil: stats.ejectedUntil,
        failureShare: stats.failureShare,
        costMs: this.#cost(candidate, '', now),
      };
    });
  }

  #choose(
    usable: readonly Candidate[],
    now: number,
    rng: RandomSource,
    {targetMs = 0, route = ''}: PickLimits,
  ): Candidate | null {
    const {dataCentre, linkMs} = this.#options;
    const comfortMs = Math.max(linkMs, targetMs * comfortShare);
    const local = usable.filter(c => c.dataCentre === dataCentre);
    const best = this.#betterOfTwo(local, route, now, rng);
    if (best && this.#usual(best, route, now) <= comfortMs) return best;
    const remote = usable.filter(c => c.dataCentre !== dataCentre);
    const other = this.#betterOfTwo(remote, route, now, rng);
    if (!best || !other) return best ?? other;
    const remoteCost = this.#cost(other, route, now) + linkMs;
    const isWorth = this.#cost(best, route, now) * crossingGain > remoteCost;
    return isWorth ? other : best;
  }

  #betterOfTwo(
    candidates: readonly Candidate[],
    route: string,
    now: number,
    rng: RandomSource,
  ): Candidate | null {
    if (candidates.length === 0) return null;
    const warm = candidates.filter(c => rng.float() < this.#weight(c, now));
    const pool = warm.length > 0 ? warm : candidates;
    const first = rng.pick(pool);
    if (pool.length === 1) return first;
    const rest = pool.filter(c => c !== first);
    const second = rng.pick(rest);
    const isBetter =
      this.#cost(second, route, now) < this.#cost(first, route, now);
    return isBetter ? second : first;
  }

  /** Share of its draws in which an instance takes part, by its age. */
  #weight(candidate: Candidate, now: number): number {
    const age = (now - candidate.readySince) / this.#options.slowStartMs;
    return Math.min(1, Math.max(lowestSlowStartWeight, age));
  }

  /**
   * Removes ejected candidates, at most half of all. Beyond that the ones
   * whose ejection ends first stay in use: when most instances fail, the cause
   * is rarely the instance and the rest could not carry the load.
   */
  #withoutEjected(
    candidates: readonly Candidate[],
    now: number,
  ): readonly Candidate[] {
    const until = (c: Candidate) => this.#stats.get(c.nodeId)?.ejectedUntil;
    const ejected = candidates.filter(c => (until(c) ?? -Infinity) > now);
    if (ejected.length === 0) return candidates;
    const cap = Math.floor(candidates.length * maxEjectedShare);
    const longest = ejected.sort((a, b) => (until(b) ?? 0) - (until(a) ?? 0));
    const removed = new Set(longest.slice(0, cap));
    return candidates.filter(c => !removed.has(c));
  }

  #cost({nodeId, slots}: Candidate, route: string, now: number): number {
    return this.#statsOf(nodeId).cost(slots, this.#priors(route), now);
  }

  #usual({nodeId, slots}: Candidate, route: string, now: number): number {
    return this.#statsOf(nodeId).usual(slots, this.#priors(route), now);
  }

  #priors(route: string): PoolPriors {
    return {
      othersPerSlot: this.#othersPerSlot.value,
      latencyMs: this.#timesOf(route).value,
    };
  }

  #timesOf(route: string): Smoothed {
    const known = this.#latencyMs.get(route);
    if (known) return known;
    const created = new Smoothed(initialLatencyMs, 0.02);
    this.#latencyMs.set(route, created);
    return created;
  }

  #statsOf(nodeId: string): InstanceStats {
    const known = this.#stats.get(nodeId);
    if (known) return known;
    const created = new InstanceStats();
    this.#stats.set(nodeId, created);
    return created;
  }
}
