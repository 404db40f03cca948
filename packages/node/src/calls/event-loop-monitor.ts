import {runPeriodically} from '../run-periodically.js';

/** Time between two looks at the event loop. */
const tickMs = 50;
/** What arrived while the loop stood still is read within this time after. */
const catchUpMs = 150;
/** Shorter stalls change nothing. */
const minStallMs = 300;

/** Tells how long what is read now may have waited. @public */
export interface LoopDelay {
  /** Time in milliseconds; 0 while the event loop keeps up. */
  readonly lateMs: number;
}

/**
 * Measures the stalls of the event loop. After one, requests are read whose
 * callers may have left meanwhile.
 *
 * @internal
 */
export class EventLoopMonitor implements LoopDelay {
  readonly #now: () => number;
  #lookedAt: number;
  #stallMs = 0;
  #stallEndedAt = -Infinity;

  constructor(now: () => number) {
    this.#now = now;
    this.#lookedAt = now();
  }

  get lateMs(): number {
    const now = this.#now();
    const runningMs = now - this.#lookedAt - tickMs;
    if (runningMs > minStallMs) return runningMs;
    return now - this.#stallEndedAt <= catchUpMs ? this.#stallMs : 0;
  }

  /** Looks at the loop until the signal aborts. */
  start(signal: AbortSignal): void {
    this.#lookedAt = this.#now();
    runPeriodically(tickMs, signal, () => this.tick());
  }

  /** Called by the timer; late after a stall. */
  tick(): void {
    const now = this.#now();
    const stallMs = now - this.#lookedAt - tickMs;
    this.#lookedAt = now;
    if (stallMs <= minStallMs) return;
    this.#stallMs = stallMs;
    this.#stallEndedAt = now;
  }
}

/** Part of a stall that counts against the time that a call has left. */
export function chargedStallMs(delay: LoopDelay | undefined): number {
  return Math.max(0, (delay?.lateMs ?? 0) - minStallMs);
}
