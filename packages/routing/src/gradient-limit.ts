import {Smoothed} from './smoothed.js';

/** Settings of {@link GradientLimit}. @public */
export interface GradientOptions {
  /** Growth of the service time that is accepted as noise; default 1.5. */
  readonly tolerance?: number;
  /** Lowest limit as a share of the slots; default 0.25. */
  readonly minShare?: number;
  /** Length of one measuring window in milliseconds; default 100. */
  readonly windowMs?: number;
}

const defaults: Required<GradientOptions> = {
  tolerance: 1.5,
  minShare: 0.25,
  windowMs: 100,
};
/** A window with fewer samples is extended: its mean is mostly noise. */
const minSamples = 10;
const maxDecrease = 0.8;
/**
 * Use of the limit from which slow calls may stem from too many at once. Below
 * it they have another cause, such as a busy machine, and a lower limit would
 * only refuse calls.
 */
const busyShare = 0.75;
/** The baseline follows a lasting change of the workload in about 1 minute. */
const baselineRise = 0.002;
const initialServiceMs = 10;

/**
 * Lowers the number of concurrent calls while the service time is above its
 * baseline, and raises it to the announced slots when the time recovers.
 *
 * @public
 */
export class GradientLimit {
  readonly #options: Required<GradientOptions>;
  #slots: number;
  #limit: number;
  #baselineMs = Infinity;
  #floorMs = Infinity;
  #windowStart = -Infinity;
  #windowSum = 0;
  #windowCount = 0;
  #windowMin = Infinity;
  #windowPeak = 0;
  readonly #serviceMs = new Smoothed(initialServiceMs, 0.1);

  constructor(slots: number, options: GradientOptions = {}) {
    this.#options = {...defaults, ...options};
    this.#slots = slots;
    this.#limit = slots;
  }

  /** Calls that may run at once, at least 1. */
  get limit(): number {
    return Math.max(1, Math.floor(this.#limit));
  }

  /** Calls that the upstream announced to run at once. */
  get slots(): number {
    return this.#slots;
  }

  /** Smoothed service time in milliseconds. */
  get serviceMs(): number {
    return this.#serviceMs.value;
  }

  /** Shortest recent service time in milliseconds; 0 before any sample. */
  get floorMs(): number {
    return this.#floorMs === Infinity ? 0 : this.#floorMs;
  }

  /** Takes over a changed announcement. */
  setSlots(slots: number): void {
    const full = this.#limit >= this.#slots;
    this.#slots = slots;
    this.#limit = full ? slots : Math.min(this.#limit, slots);
  }

  /**
   * Records the time that one call took in the upstream.
   *
   * @param inFlight - Unanswered calls when it ended, itself among them.
   */
  record(serviceMs: number, now: number, inFlight: number): void {
    this.#serviceMs.add(serviceMs);
    if (this.#windowCount === 0) this.#windowStart = now;
    this.#windowSum += serviceMs;
    this.#windowCount++;
    this.#windowMin = Math.min(this.#windowMin, serviceMs);
    this.#windowPeak = Math.max(this.#windowPeak, inFlight);
    const elapsed = now - this.#windowStart;
    if (this.#windowCount < minSamples || elapsed < this.#options.windowMs) {
      return;
    }
    this.#closeWindow(this.#windowSum / this.#windowCount);
  }

  #closeWindow(meanMs: number): void {
    this.#baselineMs =
      meanMs < this.#baselineMs
        ? meanMs + 0.8 * (finite(this.#baselineMs, meanMs) - meanMs)
        : this.#baselineMs * (1 + baselineRise);
    this.#floorMs =
      this.#windowMin < this.#floorMs
        ? this.#windowMin
        : this.#floorMs + 0.05 * (this.#windowMin - this.#floorMs);
    const gradient = (this.#options.tolerance * this.#baselineMs) / meanMs;
    const isBusy = this.#windowPeak >= busyShare * this.limit;
    const factor = isBusy ? Math.max(maxDecrease, Math.min(1, gradient)) : 1;
    const growth = factor < 1 ? 0 : Math.sqrt(this.#limit);
    const lowest = Math.max(1, this.#slots * this.#options.minShare);
    const next = this.#limit * factor + growth;
    this.#limit = Math.min(this.#slots, Math.max(lowest, next));
    this.#windowSum = 0;
    this.#windowCount = 0;
    this.#windowMin = Infinity;
    this.#windowPeak = 0;
  }
}

function finite(value: number, fallback: number): number {
  return Number.isFinite(value) ? value : fallback;
}
