import type {LoadReport} from './load-report.js';
import {CALL_OUTCOMES} from './picker-types.js';
import type {OutcomeReport, PickerOptions} from './picker-types.js';
import {Ewma} from './ewma.js';

/** Averages over the pool, used where an instance has no data of its own. */
export interface PoolAverages {
  /** Average number of calls from other entry nodes per slot. */
  readonly otherCallsPerSlot: number;
  /** Average latency of calls on the same route, in milliseconds. */
  readonly latencyMs: number;
}

/** Load changes within a few calls, so a load report soon becomes stale. */
const reportHalfLifeMs = 250;
/** An instance that was slow is tried again after some seconds. */
const latencyHalfLifeMs = 3000;
/** Samples needed before the failure rate is used. */
const minSamples = 10;
/** Queue length assumed after a refusal, as a share of the slots. */
const refusedQueueShare = 1;
const maxEjectionDoublings = 6;
const successesToRecover = 5;
const lowestSuccessShare = 0.05;

/** Locally observed results of one instance and its last load report. @internal */
export class InstanceStats {
  inFlight = 0;
  ejectedUntil = -Infinity;
  #ejections = 0;
  #consecutiveFailures = 0;
  #successesSinceEjection = 0;
  readonly #failures = new Ewma(0, 0.1);
  /**
   * Latency of the instance divided by the pool average of the same route. The
   * ratio makes routes of different duration comparable. Rises have a larger weight
   * than falls, so that a slow instance soon gets fewer calls.
   */
  readonly #latencyRatio = new Ewma(1, 0.3, 0.1);
  /** The same ratio, with equal weights for rises and falls. */
  readonly #typicalRatio = new Ewma(1, 0.1);
  #lastSampleAt = -Infinity;
  #report: LoadReport | null = null;
  #reportAt = -Infinity;
  #ownInFlightAtReport = 0;

  get failureRate(): number {
    return this.#failures.count < minSamples ? 0 : this.#failures.value;
  }

  /** Calls from other entry nodes per slot in the last report; null if none. */
  get otherCallsPerSlot(): number | null {
    if (!this.#report) return null;
    return this.#otherCallsAtReport() / Math.max(1, this.#report.slots);
  }

  record(
    report: OutcomeReport,
    options: Required<PickerOptions>,
    routeMeanMs: number,
    now: number,
  ): void {
    this.inFlight = Math.max(0, this.inFlight - 1);
    if (report.load) this.#storeReport(report.load, now);
    outcomeHandlers[report.outcome](this, report, {options, routeMeanMs, now});
  }

  /**
   * Expected time to the response in milliseconds. A load report can raise it
   * above the observed latency but not lower it: an instance that falsely reports
   * no load receives only the calls whose latency disproves the report. For an
   * instance without data only the wait behind the calls in flight counts, so it
   * is tried before the known ones.
   */
  cost(announcedSlots: number, pool: PoolAverages, now: number): number {
    const slots = Math.max(1, this.#report?.slots ?? announcedSlots);
    const otherCalls = this.#otherCalls(slots, pool, now);
    const serviceMs = this.#serviceMs(pool, now);
    const waitMs = ((this.inFlight + otherCalls) * serviceMs) / slots;
    if (!this.#report && this.#latencyRatio.count === 0) return waitMs;
    const observedMs = this.#observedMs(pool, now);
    const failed = this.failureRate * this.#sampleWeight(now);
    const success = Math.max(lowestSuccessShare, 1 - failed);
    return Math.max(waitMs + serviceMs, observedMs + waitMs) / success;
  }

  /**
   * Typical time to the response in milliseconds, including the wait for a slot
   * when all slots are in use.
   */
  typicalMs(announcedSlots: number, pool: PoolAverages, now: number): number {
    const slots = Math.max(1, this.#report?.slots ?? announcedSlots);
    const otherCalls = this.#otherCalls(slots, pool, now);
    const waiting = Math.max(0, this.inFlight + otherCalls + 1 - slots);
    const waitMs = (waiting * this.#serviceMs(pool, now)) / slots;
    return (
      this.#decayedRatio(this.#typicalRatio, now) * pool.latencyMs + waitMs
    );
  }

  /** @param routeMeanMs - Average latency of the route over the pool. */
  succeeded(latencyMs: number, routeMeanMs: number, now: number): void {
    this.#consecutiveFailures = 0;
    this.#successesSinceEjection++;
    if (this.#successesSinceEjection >= successesToRecover) this.#ejections = 0;
    this.#decayToNow(now);
    this.#failures.add(0);
    const ratio = latencyMs / Math.max(1, routeMeanMs);
    this.#latencyRatio.add(ratio);
    this.#typicalRatio.add(ratio);
  }

  /** A failure never lowers the latency ratio: fast errors must not attract calls. */
  failed(
    latencyMs: number,
    routeMeanMs: number,
    options: Required<PickerOptions>,
    now: number,
  ): void {
    this.#consecutiveFailures++;
    this.#decayToNow(now);
    this.#failures.add(1);
    const ratio = latencyMs / Math.max(1, routeMeanMs);
    if (ratio > this.#latencyRatio.value) this.#latencyRatio.add(ratio);
    const onProbation =
      this.#ejections > 0 && this.#successesSinceEjection < successesToRecover;
    const limit = onProbation ? 1 : options.maxFailures;
    const shouldEject =
      this.#consecutiveFailures >= limit ||
      this.failureRate > options.maxFailureRate;
    if (shouldEject) this.eject(options, now);
  }

  /** Assumes a full queue: the refusal is newer than the last load report. */
  refused(load: LoadReport | undefined, now: number): void {
    const base = load ?? this.#report;
    if (!base) return;
    const queued = Math.max(base.queued, base.slots * refusedQueueShare);
    this.#storeReport({...base, inFlight: base.slots, queued}, now);
  }

  eject(options: Required<PickerOptions>, now: number): void {
    if (now < this.ejectedUntil) return;
    const factor = 2 ** Math.min(this.#ejections, maxEjectionDoublings);
    this.ejectedUntil = now + options.ejectionMs * factor;
    this.#ejections++;
    this.#consecutiveFailures = 0;
    this.#successesSinceEjection = 0;
  }

  #storeReport(load: LoadReport, now: number): void {
    this.#report = load;
    this.#reportAt = now;
    this.#ownInFlightAtReport = this.inFlight;
  }

  /** Estimated calls from other entry nodes; 0 without a load report. */
  #otherCalls(slots: number, pool: PoolAverages, now: number): number {
    if (!this.#report) return 0;
    const reportWeight = decayFactor(now - this.#reportAt, reportHalfLifeMs);
    const average = pool.otherCallsPerSlot * slots;
    return (
      reportWeight * this.#otherCallsAtReport() + (1 - reportWeight) * average
    );
  }

  #otherCallsAtReport(): number {
    if (!this.#report) return 0;
    const total = this.#report.inFlight + this.#report.queued;
    return Math.max(0, total - this.#ownInFlightAtReport);
  }

  /** Reported service time, but at least half of the observed latency. */
  #serviceMs(pool: PoolAverages, now: number): number {
    const {latencyMs} = pool;
    const reported = this.#report?.serviceMs ?? latencyMs;
    const isKnown = this.#latencyRatio.count > 0;
    const ratio = isKnown ? this.#decayedRatio(this.#latencyRatio, now) : 0;
    return Math.max(reported, (ratio * latencyMs) / 2);
  }

  #observedMs(pool: PoolAverages, now: number): number {
    return this.#decayedRatio(this.#latencyRatio, now) * pool.latencyMs;
  }

  /** Applies the decay up to now, before a new sample is added. */
  #decayToNow(now: number): void {
    this.#latencyRatio.reset(this.#decayedRatio(this.#latencyRatio, now));
    this.#typicalRatio.reset(this.#decayedRatio(this.#typicalRatio, now));
    this.#failures.reset(this.#failures.value * this.#sampleWeight(now));
    this.#lastSampleAt = now;
  }

  /**
   * Ratio after its decay towards 1 since the last sample. The decay is needed
   * because an instance without calls gets no new samples. The logarithm of the
   * ratio halves per half-life, so that an instance that was ten times too slow
   * is tried again about as soon as one that was twice too slow.
   */
  #decayedRatio({value}: Ewma, now: number): number {
    return Math.max(value, 0) ** this.#sampleWeight(now);
  }

  /** Weight of past samples: 1 after a new sample, halved per half-life. */
  #sampleWeight(now: number): number {
    return decayFactor(now - this.#lastSampleAt, latencyHalfLifeMs);
  }
}

interface OutcomeContext {
  readonly options: Required<PickerOptions>;
  readonly routeMeanMs: number;
  readonly now: number;
}

type OutcomeHandler = (
  stats: InstanceStats,
  report: OutcomeReport,
  context: OutcomeContext,
) => void;

const outcomeHandlers: Record<OutcomeReport['outcome'], OutcomeHandler> = {
  [CALL_OUTCOMES.ok]: (stats, {latencyMs}, {routeMeanMs, now}) => {
    stats.succeeded(latencyMs, routeMeanMs, now);
  },
  [CALL_OUTCOMES.failed]: (stats, {latencyMs}, {options, routeMeanMs, now}) => {
    stats.failed(latencyMs, routeMeanMs, options, now);
  },
  [CALL_OUTCOMES.refused]: (stats, {load}, {now}) => {
    stats.refused(load, now);
  },
  [CALL_OUTCOMES.shed]: (stats, _report, {options, routeMeanMs, now}) => {
    stats.failed(0, routeMeanMs, options, now);
  },
  [CALL_OUTCOMES.unreachable]: (stats, _report, {options, now}) => {
    stats.eject(options, now);
  },
  [CALL_OUTCOMES.cancelled]: () => undefined,
};

function decayFactor(ageMs: number, halfLifeMs: number): number {
  return 2 ** (-Math.max(0, ageMs) / halfLifeMs);
}
