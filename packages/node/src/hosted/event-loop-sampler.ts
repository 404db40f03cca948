import {monitorEventLoopDelay, performance} from 'node:perf_hooks';

/** Event loop figures of a window. @internal */
export interface EventLoopWindow {
  /** Iterations of the loop, and the events that they handled. */
  readonly turns: number;
  readonly events: number;
  /** Longest delay of a timer, in ms: one iteration took that long. */
  readonly lateMs: number;
}

/** Interval of the timer that measures the delay of the loop, in ms. */
const timerIntervalMs = 20;
const nsPerMs = 1e6;

/** Counts the iterations of the event loop and its longest delay. @internal */
export class EventLoopSampler {
  readonly #delay = monitorEventLoopDelay({resolution: timerIntervalMs});
  #since = performance.nodeTiming.uvMetricsInfo;

  /** Measures until the signal aborts. */
  start(signal: AbortSignal): void {
    this.#delay.enable();
    signal.addEventListener('abort', () => this.#delay.disable(), {once: true});
  }

  /** Returns the window that ends now and starts the next one. */
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
