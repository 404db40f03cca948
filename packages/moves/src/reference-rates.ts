import {addCounts, emptyCounts} from './evidence.js';
import type {Counts} from './evidence.js';
import {countFrom} from './latency-bins.js';

/** Calls of a cell before its rates are used. */
const minCalls = 60;
/**
 * Part of the calls that is kept with each window, so that a reference is about
 * 60 windows (5 minutes) old on average.
 */
const keptPart = 1 - 1 / 60;
/** Share of slow calls in the reference that the edge is chosen for. */
const slowPart = 0.1;

/** Numbers of events; expected ones need not be whole. @internal */
export interface Events {
  failures: number;
  slow: number;
}

/**
 * What one route did at one load level lately, in both versions together. Old
 * calls fade out with each window.
 *
 * @internal
 */
export class ReferenceRates {
  #past = emptyCounts();
  /** First bin of the slow calls; null while there are too few calls. */
  #edge: number | null = null;

  /** True when the rates rest on enough calls. */
  get isKnown(): boolean {
    return this.#edge !== null && this.#past.calls >= minCalls;
  }

  /** Adds a window of calls and lets the earlier ones fade. */
  add(counts: Counts): void {
    const faded = emptyCounts();
    faded.calls = this.#past.calls * keptPart;
    faded.failures = this.#past.failures * keptPart;
    faded.bins = this.#past.bins.map(count => count * keptPart);
    addCounts(faded, counts);
    this.#past = faded;
    // The edge stays, so that the windows of a move count the same latencies.
    this.#edge ??= slowEdge(faded.bins);
  }

  /** Events seen in `counts`. */
  seen(counts: Counts): Events {
    const slow = countFrom(counts.bins, this.#edge ?? counts.bins.length);
    return {failures: counts.failures, slow};
  }

  /** Events that as many calls would have had in the past. */
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
    if (countFrom(bins, bin) >= calls * slowPart) return bin;
  }
  return null;
}
