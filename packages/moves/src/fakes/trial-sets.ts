import {MoveTrial} from './move-trial.js';
import type {TrialResult} from './move-trial.js';
import {lowTraffic, rateOf, trialDefaults} from './trial-config.js';
import type {TrialConfig} from './trial-config.js';

/** Figures of a set of trials of one kind. @internal */
export interface TrialSummary {
  readonly trials: number;
  readonly takenBack: number;
  /** Done at or before the deadline. */
  readonly onTime: number;
  /**
   * Median of: calls to the new version from the onset of the fault to 1 s
   * after the stop was decided, over all calls of the service from the first
   * share to that time.
   */
  readonly badShare: number;
  /** The same with all calls to the new version, also before the onset. */
  readonly newShare: number;
  /** The same with all calls of the service since the onset only. */
  readonly shareSinceOnset: number;
  /** Median time from the onset to the decision, in seconds. */
  readonly detectionS: number;
  /** Worst time from the decision to the last call to the new version. */
  readonly lateMs: number;
  /** Seeds that did not end as they should, for a closer look. */
  readonly reasons: readonly string[];
}

/** Runs `trials` seeds of one kind. @internal */
export async function runTrials(
  kind: Partial<TrialConfig>,
  trials: number,
  firstSeed: number,
): Promise<TrialSummary> {
  const results: {seed: number; result: TrialResult}[] = [];
  for (let i = 0; i < trials; i++) {
    const seed = firstSeed + i;
    // The rate walks evenly through its range, whatever the seeds are. A single
    // trial runs at a low rate, to save time in CI.
    const callsPerSecond = rateOf((i + 0.5) / Math.max(2, trials));
    const low = kind.good === 'lowTraffic' ? lowTraffic : {};
    const config = {...trialDefaults, callsPerSecond, seed, ...low, ...kind};
    results.push({seed, result: await new MoveTrial(config).run()});
  }
  const isBad = kind.fault != null;
  return summarize(results, isBad);
}

function summarize(
  runs: readonly {seed: number; result: TrialResult}[],
  isBad: boolean,
): TrialSummary {
  const results = runs.map(r => r.result);
  const back = results.filter(r => r.record.state === 'takenBack');
  const wrong = runs.filter(
    r => r.result.record.state !== (isBad ? 'takenBack' : 'done'),
  );
  return {
    trials: results.length,
    takenBack: back.length,
    onTime: results.filter(r => r.onTime).length,
    badShare: median(results.map(r => r.badCalls / r.allCalls)),
    newShare: median(results.map(r => r.newCalls / r.allCalls)),
    shareSinceOnset: median(
      results.map(r => r.badCalls / Math.max(1, r.callsSinceOnset)),
    ),
    detectionS: median(back.map(r => (r.stopDecidedAt - r.onsetAt) / 1000)),
    lateMs: Math.max(...results.map(r => r.lateMs)),
    reasons: wrong.map(
      ({seed, result}) =>
        `seed ${String(seed)}: ${result.record.state}, ` +
        `share ${String(result.record.share)}, ${result.record.reason}`,
    ),
  };
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}
