import {Ewma} from './ewma.js';

/** Settings of {@link GradientLimit}. @public */
export interface GradientOptions {
  /** Factor over the baseline service time that counts as noise; default 1.5. */
  readonly tolerance?: number;
  /** Minimum limit as a share of the slots; default 0.25. */
  readonly minShare?: number;
  /** Length of one measuring window in milliseconds; default 100. */
  readonly windowMs?: number;
}

const defaults: Required<GradientOptions> = {
  tolerance: 1.5,
  minShare: 0.25,
  windowMs: 100,
};
/** A window with fewer samples is extended, because its mean is mostly noise. */
const minSamples = 10;
const minFactor = 0.8;
/**
 * Share of the limit that must be in use before the limit is lowered. With fewer
 * calls in flight, slow calls have another cause, such as a busy machine, and a
 * lower limit would only refuse calls.
 */
const minPeakUse = 0.75;
/** Growth per window; the baseline follows a lasting change in about 1 minute. */
const baselineRise = 0.002;
const initialServiceMs = 10;

/**
 * Concurrency limit that falls while the service time is above its baseline and
 * rises again, up to the announced slots, when the service time recovers.
 *
 * @public
 */
export class GradientLimit {
  readonly #options: Required<GradientOptions>;
  #slots: number;
  #limit: number;
  #baselineMs = Infinity;
  #minServiceMs = Infinity;
  #windowStart = -Infinity;
  #windowSum = 0;
  #windowCount = 0;
  #windowMin = Infinity;
  #windowPeakInFlight = 0;
  readonly #serviceMs = new Ewma(initialServiceMs, 0.1);

  constructor(slots: number, options: GradientOptions = {}) {
    this.#options = {...defaults, ...options};
    this.#slots = slots;
    this.#limit = slots;
  }

  /** Number of calls that may run concurrently, at least 1. */
  get limit(): number {
    return Math.max(1, Math.floor(this.#limit));
  }

  /** Number of calls that the upstream announced it can run concurrently. */
  get slots(): number {
    return this.#slots;
  }

  /** Moving average of the service time in milliseconds. */
  get serviceMs(): number {
    return this.#serviceMs.value;
  }

  /** Shortest recent service time in milliseconds; 0 before any sample. */
  get minServiceMs(): number {
    return this.#minServiceMs === Infinity ? 0 : this.#minServiceMs;
  }

  /** Applies a changed number of announced slots. */
  setSlots(slots: number): void {
    const full = this.#limit >= this.#slots;
    this.#slots = slots;
    this.#limit = full ? slots : Math.min(this.#limit, slots);
  }

  /**
   * Records the service time of one call in the upstream.
   *
   * @param inFlight - Unanswered calls at that moment, including this one.
   */
  record(serviceMs: number, now: number, inFlight: number): void {
    this.#serviceMs.add(serviceMs);
    if (this.#windowCount === 0) this.#windowStart = now;
    this.#windowSum += serviceMs;
    this.#windowCount++;
    this.#windowMin = Math.min(this.#windowMin, serviceMs);
    this.#windowPeakInFlight = Math.max(this.#windowPeakInFlight, inFlight);
    const elapsed = now - this.#windowStart;
    if (this.#windowCount < minSamples || elapsed < this.#options.windowMs) {
      return;
    }
    this.#closeWindow(this.#windowSum / this.#windowCount);
  }

  #closeWindow(meanMs: number): void {
    this.#baselineMs =
      meanMs < this.#baselineMs
        ? meanMs + 0.8 * (finiteOr(this.#baselineMs, meanMs) - meanMs)
        : this.#baselineMs * (1 + baselineRise);
    this.#minServiceMs =
      this.#windowMin < this.#minServiceMs
        ? this.#windowMin
        : this.#minServiceMs + 0.05 * (this.#windowMin - this.#minServiceMs);
    const gradient = (this.#options.tolerance * this.#baselineMs) / meanMs;
    const isBusy = this.#windowPeakInFlight >= minPeakUse * this.limit;
    const factor = isBusy ? Math.max(minFactor, Math.min(1, gradient)) : 1;
    const growth = factor < 1 ? 0 : Math.sqrt(this.#limit);
    const lowest = Math.max(1, this.#slots * this.#options.minShare);
    const next = this.#limit * factor + growth;
    this.#limit = Math.min(this.#slots, Math.max(lowest, next));
    this.#windowSum = 0;
    this.#windowCount = 0;
    this.#windowMin = Infinity;
    this.#windowPeakInFlight = 0;
  }
}

function finiteOr(value: number, fallback: number): number {
  return Number.isFinite(value) ? value : fallback;
}
