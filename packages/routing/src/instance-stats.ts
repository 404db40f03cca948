import type {LoadReport} from './load-report.js';
import {CALL_OUTCOMES} from './picker-types.js';
import type {OutcomeReport, PickerOptions} from './picker-types.js';
import {Smoothed} from './smoothed.js';

/** Values of the whole pool that replace what is not known of an instance. */
export interface PoolPriors {
  /** Smoothed calls of other entry nodes per slot. */
  readonly othersPerSlot: number;
  /** Smoothed time of a call on the same route, in milliseconds. */
  readonly latencyMs: number;
}

/** Load changes within some calls' time, so a report loses its value. */
const reportHalfLifeMs = 250;
/** An instance that looked slow is tried again after some seconds. */
const latencyHalfLifeMs = 3000;
/** Failure samples before the share of failures counts. */
const minSamples = 10;
/** Queue assumed after a refusal, as a share of the slots. */
const refusedQueueShare = 1;
const maxEjectionDoublings = 6;
const recoveredAfter = 5;
const lowestSuccessShare = 0.05;

/** Own observations of one instance and its last load report. @internal */
export class InstanceStats {
  inFlight = 0;
  ejectedUntil = -Infinity;
  #ejections = 0;
  #consecutiveFailures = 0;
  #successesSinceReturn = 0;
  readonly #failures = new Smoothed(0, 0.1);
  /**
   * Times relative to those of the same route in the whole pool: an instance
   * serves routes of unlike length. Rises fast, so that a slow instance is left
   * soon.
   */
  readonly #slowness = new Smoothed(1, 0.3, 0.1);
  /** The same without the bias. */
  readonly #typical = new Smoothed(1, 0.1);
  #latencyAt = -Infinity;
  #report: LoadReport | null = null;
  #reportAt = -Infinity;
  #ownAtReport = 0;

  get failureShare(): number {
    return this.#failures.count < minSamples ? 0 : this.#failures.value;
  }

  /** Calls of other entry nodes per slot by the last report; null if none. */
  get othersPerSlot(): number | null {
    if (!this.#report) return null;
    return this.#othersAtReport() / Math.max(1, this.#report.slots);
  }

  record(
    report: OutcomeReport,
    options: Required<PickerOptions>,
    usualMs: number,
    now: number,
  ): void {
    this.inFlight = Math.max(0, this.inFlight - 1);
    if (report.load) this.#takeReport(report.load, now);
    recorders[report.outcome](this, report, {options, usualMs, now});
  }

  /**
   * Expected time to the answer in milliseconds. A report can only raise it
   * above what was observed here: a false report of no load attracts no calls
   * beyond those whose answers disprove it. An untried instance costs only its
   * own calls in flight, so it is tried before the known ones.
   */
  cost(announcedSlots: number, pool: PoolPriors, now: number): number {
    const slots = Math.max(1, this.#report?.slots ?? announcedSlots);
    const others = this.#others(slots, pool, now);
    const serviceMs = this.#serviceMs(pool, now);
    const waitMs = ((this.inFlight + others) * serviceMs) / slots;
    if (!this.#report && this.#slowness.count === 0) return waitMs;
    const observedMs = this.#observed(pool, now);
    const failed = this.failureShare * this.#fresh(now);
    const success = Math.max(lowestSuccessShare, 1 - failed);
    return Math.max(waitMs + serviceMs, observedMs + waitMs) / success;
  }

  /**
   * Time to the answer that most calls see, in milliseconds, with the wait for a
   * slot when all are in use.
   */
  usual(announcedSlots: number, pool: PoolPriors, now: number): number {
    const slots = Math.max(1, this.#report?.slots ?? announcedSlots);
    const others = this.#others(slots, pool, now);
    const waiting = Math.max(0, this.inFlight + others + 1 - slots);
    const waitMs = (waiting * this.#serviceMs(pool, now)) / slots;
    return this.#aged(this.#typical, now) * pool.latencyMs + waitMs;
  }

  /** @param usualMs - Time of a call on the same route in the whole pool. */
  succeeded(latencyMs: number, usualMs: number, now: number): void {
    this.#consecutiveFailures = 0;
    this.#successesSinceReturn++;
    if (this.#successesSinceReturn >= recoveredAfter) this.#ejections = 0;
    this.#age(now);
    this.#failures.add(0);
    const ratio = latencyMs / Math.max(1, usualMs);
    this.#slowness.add(ratio);
    this.#typical.add(ratio);
  }

  /** A failure never lowers the latency: fast errors must not attract calls. */
  failed(
    latencyMs: number,
    usualMs: number,
    options: Required<PickerOptions>,
    now: number,
  ): void {
    this.#consecutiveFailures++;
    this.#age(now);
    this.#failures.add(1);
    const ratio = latencyMs / Math.max(1, usualMs);
    if (ratio > this.#slowness.value) this.#slowness.add(ratio);
    const onProbation =
      this.#ejections > 0 && this.#successesSinceReturn < recoveredAfter;
    const limit = onProbation ? 1 : options.maxFailures;
    const bad =
      this.#consecutiveFailures >= limit ||
      this.failureShare > options.maxFailureShare;
    if (bad) this.eject(options, now);
  }

  /** Assumes a full queue: the refusal tells more than an older report. */
  refused(load: LoadReport | undefined, now: number): void {
    const base = load ?? this.#report;
    if (!base) return;
    const queued = Math.max(base.queued, base.slots * refusedQueueShare);
    this.#takeReport({...base, inFlight: base.slots, queued}, now);
  }

  eject(options: Required<PickerOptions>, now: number): void {
    if (now < this.ejectedUntil) return;
    const factor = 2 ** Math.min(this.#ejections, maxEjectionDoublings);
    this.ejectedUntil = now + options.ejectionMs * factor;
    this.#ejections++;
    this.#consecutiveFailures = 0;
    this.#successesSinceReturn = 0;
  }

  #takeReport(load: LoadReport, now: number): void {
    this.#report = load;
    this.#reportAt = now;
    this.#ownAtReport = this.inFlight;
  }

  /** Calls of other entry nodes there; no report at all counts as idle. */
  #others(slots: number, pool: PoolPriors, now: number): number {
    if (!this.#report) return 0;
    const fresh = halfLife(now - this.#reportAt, reportHalfLifeMs);
    const usual = pool.othersPerSlot * slots;
    return fresh * this.#othersAtReport() + (1 - fresh) * usual;
  }

  #othersAtReport(): number {
    if (!this.#report) return 0;
    const total = this.#report.inFlight + this.#report.queued;
    return Math.max(0, total - this.#ownAtReport);
  }

  /** A reported time far below what was observed is not believed. */
  #serviceMs(pool: PoolPriors, now: number): number {
    const {latencyMs} = pool;
    const reported = this.#report?.serviceMs ?? latencyMs;
    const isKnown = this.#slowness.count > 0;
    const ratio = isKnown ? this.#aged(this.#slowness, now) : 0;
    return Math.max(reported, (ratio * latencyMs) / 2);
  }

  #observed(pool: PoolPriors, now: number): number {
    return this.#aged(this.#slowness, now) * pool.latencyMs;
  }

  /** Starts from what is still known before a new sample is added. */
  #age(now: number): void {
    this.#slowness.reset(this.#aged(this.#slowness, now));
    this.#typical.reset(this.#aged(this.#typical, now));
    this.#failures.reset(this.#failures.value * this.#fresh(now));
    this.#latencyAt = now;
  }

  /**
   * A measured ratio as far as it is still known. It nears 1 by factors: what is
   * not called is not measured, and ten times too slow is forgotten as soon as
   * twice.
   */
  #aged({value}: Smoothed, now: number): number {
    return Math.max(value, 0) ** this.#fresh(now);
  }

  /** 1 right after an answer; half after each half-life without one. */
  #fresh(now: number): number {
    return halfLife(now - this.#latencyAt, latencyHalfLifeMs);
  }
}

interface RecordContext {
  readonly options: Required<PickerOptions>;
  readonly usualMs: number;
  readonly now: number;
}

type Recorder = (
  stats: InstanceStats,
  report: OutcomeReport,
  context: RecordContext,
) => void;

const recorders: Record<OutcomeReport['outcome'], Recorder> = {
  [CALL_OUTCOMES.ok]: (stats, {latencyMs}, {usualMs, now}) => {
    stats.succeeded(latencyMs, usualMs, now);
  },
  [CALL_OUTCOMES.failed]: (stats, {latencyMs}, {options, usualMs, now}) => {
    stats.failed(latencyMs, usualMs, options, now);
  },
  [CALL_OUTCOMES.refused]: (stats, {load}, {now}) => {
    stats.refused(load, now);
  },
  [CALL_OUTCOMES.shed]: (stats, _report, {options, usualMs, now}) => {
    stats.failed(0, usualMs, options, now);
  },
  [CALL_OUTCOMES.unreachable]: (stats, _report, {options, now}) => {
    stats.eject(options, now);
  },
  [CALL_OUTCOMES.cancelled]: () => undefined,
};

function halfLife(ageMs: number, halfLifeMs: number): number {
  return 2 ** (-Math.max(0, ageMs) / halfLifeMs);
}
