import type {Counts, Evidence} from './evidence.js';
import {latencyBinCount, lowerEdgeMs} from './latency-bins.js';

/** Smoothed load of a service over all its entry nodes. @public */
export interface LoadEstimate {
  readonly callsPerSecond: number;
  /** Mean time of a call in milliseconds. */
  readonly serviceMs: number;
}

const msPerSecond = 1_000;
/** Weight of the newest second. */
const weight = 0.2;
/** Seconds of evidence before the rate is trusted. */
const settleSeconds = 10;
/**
 * Without evidence for this long, the last estimate stays. A path that is lost
 * must not look like a service without load, which would allow any share.
 */
const silenceMs = 5_000;

/**
 * Load of the service of one move, from the evidence that arrives at the
 * controller. The evidence counts the calls of all entry nodes, so it holds
 * also when calls enter the nodes unevenly.
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
  #rolledAt: number | null = null;
  #heardAt = 0;

  add(evidence: Evidence, now: number): void {
    this.#rolledAt ??= now;
    for (const {from, to} of evidence.cells) {
      this.#addCounts(from);
      this.#addCounts(to);
    }
    this.#heardAt = now;
  }

  /** Called about once a second. */
  update(now: number): void {
    if (this.#rolledAt === null) return;
    const seconds = (now - this.#rolledAt) / msPerSecond;
    if (seconds < 1) return;
    this.#rolledAt = now;
    const isSilent = now - this.#heardAt >= silenceMs;
    if (isSilent && this.#calls === 0) return;
    this.#seconds += 1;
    // The mean of the first seconds; after them a moving average.
    const part = Math.max(weight, 1 / this.#seconds);
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

  /** Null until the evidence of some seconds has arrived. */
  estimate(): LoadEstimate | null {
    if (this.#seconds < settleSeconds || this.#serviceMs === null) return null;
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

/** Middle of a bin. */
function binMeanMs(bin: number): number {
  const low = lowerEdgeMs(bin);
  if (bin >= latencyBinCount - 1) return low;
  return (low + lowerEdgeMs(bin + 1)) / 2;
}
