import type {CallLoad, CallPaths} from './call-paths.js';
import {allCallPaths} from './call-paths.js';
import {percentileMs} from './open-loop.js';
import {SteadyState} from '../report/steady-state.js';

const windowSeconds = 1;
const percent = 50;

/** How a warm-up ended. @internal */
export interface WarmUpResult {
  readonly seconds: number;
  /** False if the bound ended it while something still became faster. */
  readonly steady: boolean;
}

/** What a warm-up loads and watches. @internal */
export interface WarmUpOptions {
  readonly paths: CallPaths;
  readonly load: Omit<CallLoad, 'seconds'>;
  /** Bound on the time it takes. */
  readonly maxSeconds: number;
  /** Processor time of the entry and of the serving process, in ms. */
  readonly cpuMs: () => Promise<readonly number[]>;
}

/**
 * Loads all paths at once until neither their median nor the processor time of
 * the nodes falls. Without it the figures show the compiler: the first second
 * of a cold node is several times as slow as its tenth.
 *
 * @internal
 */
export async function warmUp(options: WarmUpOptions): Promise<WarmUpResult> {
  const {paths, load, maxSeconds, cpuMs} = options;
  const states: SteadyState[] = [];
  let before = await cpuMs();
  for (let seconds = 1; seconds <= maxSeconds; seconds++) {
    const medians = await Promise.all(
      allCallPaths.map(async path => {
        const window = {...load, seconds: windowSeconds};
        const {latencies, failed} = await paths.run(path, window);
        if (failed > 0) {
          throw new Error(`${failed} warm-up calls failed: ${path}`);
        }
        return percentileMs(latencies, percent);
      }),
    );
    const after = await cpuMs();
    const used = after.map((ms, i) => ms - (before[i] ?? 0));
    before = after;
    [...medians, ...used].forEach((time, i) => {
      (states[i] ??= new SteadyState()).add(time);
    });
    if (states.every(state => state.reached)) return {seconds, steady: true};
  }
  return {seconds: maxSeconds, steady: false};
}
