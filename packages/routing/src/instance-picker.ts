import {CALL_CODES, MeshError} from '@verbenabeam/core';
import type {RandomSource} from '@verbenabeam/core';
import {Result} from 'true-myth';
import {InstanceStats} from './instance-stats.js';
import type {PoolAverages} from './instance-stats.js';
import type {
  Candidate,
  InstanceView,
  OutcomeReport,
  PickerOptions,
  PickLimits,
} from './picker-types.js';
import {Ewma} from './ewma.js';

const defaults = {
  linkMs: 3,
  slowStartMs: 10_000,
  maxFailures: 5,
  maxFailureRate: 0.5,
  ejectionMs: 1000,
};
const maxEjectedShare = 0.5;
/** A new instance receives a few calls from the start, to warm up. */
const lowestSlowStartWeight = 0.05;
const initialLatencyMs = 10;
/**
 * Share of the target below which the typical latency must lie, so that nearly
 * all calls meet the target: single calls take up to twice as long.
 */
const onTargetShare = 0.6;
/**
 * Calls go to another data centre only if its cost is below this share of the
 * local cost. Under overload all data centres are full, and moving calls for a
 * small difference gains nothing.
 */
const remoteCostShare = 0.65;
const noExclusions: ReadonlySet<string> = new Set();

/**
 * Chooses the instance for a call by power of two choices: of two random
 * candidates, the one with the lower expected response time. One picker serves
 * all services of an entry node.
 *
 * @public
 */
export class InstancePicker {
  readonly #options: Required<PickerOptions>;
  readonly #stats = new Map<string, InstanceStats>();
  readonly #otherCallsPerSlot = new Ewma(0, 0.05);
  /** Average latency of each route over all instances, in ms. */
  readonly #routeLatencies = new Map<string, Ewma>();

  constructor(options: PickerOptions) {
    this.#options = {...defaults, ...options};
  }

  /**
   * Chooses an instance and counts one more call in flight on it. Each
   * successful pick must be followed by one {@link InstancePicker.report}.
   *
   * @param candidates - Ready instances of the service version.
   * @param exclude - Ids of the nodes on which this call already failed.
   * @returns Error 1602 when no candidate is left or the expected time to the
   * response of the chosen one exceeds `maxCostMs`.
   */
  pick(
    service: string,
    version: string,
    candidates: readonly Candidate[],
    now: number,
    rng: RandomSource,
    exclude: ReadonlySet<string> = noExclusions,
    limits: PickLimits = {},
  ): Result<Candidate, MeshError> {
    const inUse = this.#withoutEjected(candidates, now);
    const usable =
      exclude.size === 0 ? inUse : inUse.filter(c => !exclude.has(c.nodeId));
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

  /** Records the outcome of a call that was sent to a picked instance. */
  report(report: OutcomeReport, now: number): void {
    const stats = this.#statsOf(report.nodeId);
    const routeLatency = this.#latencyOf(report.route ?? '');
    if (report.outcome === 'ok') routeLatency.add(report.latencyMs);
    stats.record(report, this.#options, routeLatency.value, now);
    const others = stats.otherCallsPerSlot;
    if (others !== null) this.#otherCallsPerSlot.add(others);
  }

  /** Drops instances that are no longer members and have no calls in flight. */
  retain(nodeIds: ReadonlySet<string>): void {
    for (const [nodeId, stats] of this.#stats) {
      if (!nodeIds.has(nodeId) && stats.inFlight === 0) {
        this.#stats.delete(nodeId);
      }
    }
  }

  /** Current state of the instances, for status and metrics. */
  view(candidates: readonly Candidate[], now: number): InstanceView[] {
    return candidates.map(candidate => {
      const stats = this.#statsOf(candidate.nodeId);
      return {
        nodeId: candidate.nodeId,
        inFlight: stats.inFlight,
        ejectedUntil: stats.ejectedUntil,
        failureRate: stats.failureRate,
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
    const onTargetMs = Math.max(linkMs, targetMs * onTargetShare);
    const local = usable.filter(c => c.dataCentre === dataCentre);
    const best = this.#betterOfTwo(local, route, now, rng);
    if (best && this.#typicalMs(best, route, now) <= onTargetMs) return best;
    const remote = usable.filter(c => c.dataCentre !== dataCentre);
    const other = this.#betterOfTwo(remote, route, now, rng);
    if (!best || !other) return best ?? other;
    const remoteCost = this.#cost(other, route, now) + linkMs;
    const isRemoteFaster =
      this.#cost(best, route, now) * remoteCostShare > remoteCost;
    return isRemoteFaster ? other : best;
  }

  #betterOfTwo(
    candidates: readonly Candidate[],
    route: string,
    now: number,
    rng: RandomSource,
  ): Candidate | null {
    if (candidates.length === 0) return null;
    if (candidates.length === 1) return candidates[0] ?? null;
    const pool = this.#draw(candidates, now, rng);
    const first = rng.pick(pool);
    if (pool.length === 1) return first;
    const rest = pool.filter(c => c !== first);
    const second = rng.pick(rest);
    const isBetter =
      this.#cost(second, route, now) < this.#cost(first, route, now);
    return isBetter ? second : first;
  }

  /** Leaves out instances in slow start at random; all take part if none is left. */
  #draw(
    candidates: readonly Candidate[],
    now: number,
    rng: RandomSource,
  ): readonly Candidate[] {
    const isFull = candidates.every(c => this.#weight(c, now) >= 1);
    if (isFull) return candidates;
    const drawn = candidates.filter(c => rng.float() < this.#weight(c, now));
    return drawn.length > 0 ? drawn : candidates;
  }

  /** Probability that an instance is considered; rises during slow start. */
  #weight(candidate: Candidate, now: number): number {
    const age = (now - candidate.readySince) / this.#options.slowStartMs;
    return Math.min(1, Math.max(lowestSlowStartWeight, age));
  }

  /**
   * Removes ejected candidates, but at most half of all candidates. If more are
   * ejected, those whose ejection ends first stay in use: when most instances
   * fail, the cause is rarely the instance, and the others could not carry the
   * load.
   */
  #withoutEjected(
    candidates: readonly Candidate[],
    now: number,
  ): readonly Candidate[] {
    const until = (c: Candidate) => this.#stats.get(c.nodeId)?.ejectedUntil;
    const isEjected = (c: Candidate) => (until(c) ?? -Infinity) > now;
    if (!candidates.some(isEjected)) return candidates;
    const ejected = candidates.filter(isEjected);
    const cap = Math.floor(candidates.length * maxEjectedShare);
    const longest = ejected.sort((a, b) => (until(b) ?? 0) - (until(a) ?? 0));
    const removed = new Set(longest.slice(0, cap));
    return candidates.filter(c => !removed.has(c));
  }

  #cost({nodeId, slots}: Candidate, route: string, now: number): number {
    return this.#statsOf(nodeId).cost(slots, this.#poolAverages(route), now);
  }

  #typicalMs({nodeId, slots}: Candidate, route: string, now: number): number {
    return this.#statsOf(nodeId).typicalMs(
      slots,
      this.#poolAverages(route),
      now,
    );
  }

  #poolAverages(route: string): PoolAverages {
    return {
      otherCallsPerSlot: this.#otherCallsPerSlot.value,
      latencyMs: this.#latencyOf(route).value,
    };
  }

  #latencyOf(route: string): Ewma {
    const known = this.#routeLatencies.get(route);
    if (known) return known;
    const created = new Ewma(initialLatencyMs, 0.02);
    this.#routeLatencies.set(route, created);
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
