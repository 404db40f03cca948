import {monitorEventLoopDelay, performance} from 'node:perf_hooks';

/** What the event loop did in a window. @internal */
export interface EventLoopWindow {
  /** Turns, and events that they handled. */
  readonly turns: number;
  readonly events: number;
  /** Longest time by which a timer was late, in ms: a turn was that long. */
  readonly lateMs: number;
}

/** Time between two looks of the timer that tells how late the loop is, in ms. */
const timerIntervalMs = 20;
const nsPerMs = 1e6;

/** Counts the turns of the event loop and finds the longest one. @internal */
export class EventLoopSampler {
  readonly #delay = monitorEventLoopDelay({resolution: timerIntervalMs});
  #since = performance.nodeTiming.uvMetricsInfo;

  /** Measures until the signal aborts. */
  start(signal: AbortSignal): void {
    this.#delay.enable();
    signal.addEventListener('abort', () => this.#delay.disable(), {once: true});
  }

  /** Returns the window that ends now and begins another one. */
  take(): EventLoopWindow {
    const now = performance.nodeTiming.uvMetricsInfo;
    const since = this.#since;
    this.#since = now;
    const lateMs = Math.max(0, this.#delay.max / nsPerMs - timerIntervalMs);
    this.#delay.reset();
    return {
      turns: now.loopCount - since.loopCount,
      events: now.events - since.events,
      lateMs: Math.round(lateMs),
    };
  }
}
