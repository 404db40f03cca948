import {runPeriodically} from '../run-periodically.js';

/** Interval between two checks of the event loop. */
const tickMs = 50;
/** Data that arrived during a stall is read within this time after its end. */
const staleReadMs = 150;
/** Shorter stalls are ignored. */
const minStallMs = 300;

/** Reports how long data that is read now may have waited. @public */
export interface LoopDelay {
  /** Time in ms; 0 while the event loop keeps up. */
  readonly lateMs: number;
}

/**
 * Measures stalls of the event loop. The callers of requests that are read after
 * a stall may have disconnected during the stall.
 *
 * @internal
 */
export class EventLoopMonitor implements LoopDelay {
  readonly #now: () => number;
  #lastTickAt: number;
  #stallMs = 0;
  #stallEndedAt = -Infinity;

  constructor(now: () => number) {
    this.#now = now;
    this.#lastTickAt = now();
  }

  get lateMs(): number {
    const now = this.#now();
    const ongoingStallMs = now - this.#lastTickAt - tickMs;
    if (ongoingStallMs > minStallMs) return ongoingStallMs;
    return now - this.#stallEndedAt <= staleReadMs ? this.#stallMs : 0;
  }

  /** Checks the event loop until the signal aborts. */
  start(signal: AbortSignal): void {
    this.#lastTickAt = this.#now();
    runPeriodically(tickMs, signal, () => this.tick());
  }

  /** Called by the timer; a stall delays the call. */
  tick(): void {
    const now = this.#now();
    const stallMs = now - this.#lastTickAt - tickMs;
    this.#lastTickAt = now;
    if (stallMs <= minStallMs) return;
    this.#stallMs = stallMs;
    this.#stallEndedAt = now;
  }
}

/** Part of a stall that is deducted from a call's remaining time, in ms. */
export function chargedStallMs(delay: LoopDelay | undefined): number {
  return Math.max(0, (delay?.lateMs ?? 0) - minStallMs);
}
