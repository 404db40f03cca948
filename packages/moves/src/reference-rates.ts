import {addCounts, emptyCounts} from './evidence.js';
import type {Counts} from './evidence.js';
import {countFrom} from './latency-bins.js';

/** Minimum number of calls before the rates are used. */
const minCalls = 60;
/**
 * Factor that each new window applies to the earlier calls. The mean age of the
 * reference is then about 60 windows (5 minutes).
 */
const decayFactor = 1 - 1 / 60;
/**
 * Fraction of reference calls that count as slow; the edge is chosen for it.
 */
const slowFraction = 0.1;

/** Numbers of events; expected numbers may be fractions. @internal */
export interface Events {
  failures: number;
  slow: number;
}

/**
 * Recent event rates of one route at one load level, over both versions.
 * Earlier calls lose weight with each window.
 *
 * @internal
 */
export class ReferenceRates {
  #past = emptyCounts();
  /** First bin of the slow calls; null while there are too few calls. */
  #edge: number | null = null;

  /** True when there are enough calls for the rates. */
  get isKnown(): boolean {
    return this.#edge !== null && this.#past.calls >= minCalls;
  }

  /** Adds a window of calls and reduces the weight of earlier ones. */
  add(counts: Counts): void {
    const faded = emptyCounts();
    faded.calls = this.#past.calls * decayFactor;
    faded.failures = this.#past.failures * decayFactor;
    faded.bins = this.#past.bins.map(count => count * decayFactor);
    addCounts(faded, counts);
    this.#past = faded;
    // The edge is fixed, so all windows of a move count the same latencies as
    // slow.
    this.#edge ??= slowEdge(faded.bins);
  }

  /** Observed events in `counts`. */
  seen(counts: Counts): Events {
    const slow = countFrom(counts.bins, this.#edge ?? counts.bins.length);
    return {failures: counts.failures, slow};
  }

  /**
   * Expected events for the number of calls in `counts`, at the reference
   * rates.
   */
  expected(counts: Counts): Events {
    const past = this.#past;
    const timed = Math.max(1, countFrom(past.bins, 0));
    const slow = countFrom(past.bins, this.#edge ?? past.bins.length);
    return {
      failures: (counts.calls * past.failures) / Math.max(1, past.calls),
      slow: (countFrom(counts.bins, 0) * slow) / timed,
    };
  }
}

/** The highest bin with at least `slowPart` of the calls in and above it. */
function slowEdge(bins: readonly number[]): number | null {
  const calls = countFrom(bins, 0);
  if (calls < minCalls) return null;
  for (let bin = bins.length - 1; bin > 0; bin--) {
    if (countFrom(bins, bin) >= calls * slowFraction) return bin;
  }
  return null;
}
