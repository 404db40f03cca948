import type {Counts, Evidence} from './evidence.js';
import {latencyBinCount, lowerEdgeMs} from './latency-bins.js';

/** Smoothed load of a service over all entry nodes. @public */
export interface LoadEstimate {
  readonly callsPerSecond: number;
  /** Mean duration of a call in milliseconds. */
  readonly serviceMs: number;
}

const msPerSecond = 1_000;
/** Weight of the newest second in the moving average. */
const newestSecondWeight = 0.2;
/** Seconds of evidence that are needed before the estimate is used. */
const minSeconds = 10;
/**
 * After this time without evidence, the last estimate stays. A lost path for
 * evidence must not look like a service without load, which allows any share.
 */
const staleAfterMs = 5_000;

/**
 * Load of the service of one move, from the evidence that the controller
 * receives. The evidence counts the calls of all entry nodes, so the load is
 * correct also when calls arrive unevenly at the nodes.
 *
 * @public
 */
export class ServiceLoad {
  #calls = 0;
  #timed = 0;
  #totalMs = 0;
  #perSecond = 0;
  #serviceMs: number | null = null;
  #seconds = 0;
  #updatedAt: number | null = null;
  #lastEvidenceAt = 0;

  add(evidence: Evidence, now: number): void {
    this.#updatedAt ??= now;
    for (const {from, to} of evidence.cells) {
      this.#addCounts(from);
      this.#addCounts(to);
    }
    this.#lastEvidenceAt = now;
  }

  /** Updates the estimate. Called about once a second. */
  update(now: number): void {
    if (this.#updatedAt === null) return;
    const seconds = (now - this.#updatedAt) / msPerSecond;
    if (seconds < 1) return;
    this.#updatedAt = now;
    const isStale = now - this.#lastEvidenceAt >= staleAfterMs;
    if (isStale && this.#calls === 0) return;
    this.#seconds += 1;
    // A plain mean over the first seconds, then an exponential moving average.
    const part = Math.max(newestSecondWeight, 1 / this.#seconds);
    this.#perSecond += part * (this.#calls / seconds - this.#perSecond);
    if (this.#timed > 0) {
      const mean = this.#totalMs / this.#timed;
      const before = this.#serviceMs ?? mean;
      this.#serviceMs = before + part * (mean - before);
    }
    this.#calls = 0;
    this.#timed = 0;
    this.#totalMs = 0;
  }

  /** The estimate; null until enough seconds of evidence have arrived. */
  estimate(): LoadEstimate | null {
    if (this.#seconds < minSeconds || this.#serviceMs === null) return null;
    return {callsPerSecond: this.#perSecond, serviceMs: this.#serviceMs};
  }

  #addCounts({calls, bins}: Counts): void {
    this.#calls += calls;
    bins.forEach((count, bin) => {
      this.#timed += count;
      this.#totalMs += count * binMeanMs(bin);
    });
  }
}

/** Midpoint of a bin in milliseconds. */
function binMeanMs(bin: number): number {
  const low = lowerEdgeMs(bin);
  if (bin >= latencyBinCount - 1) return low;
  return (low + lowerEdgeMs(bin + 1)) / 2;
}
