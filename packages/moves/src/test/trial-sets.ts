import {MoveTrial} from './move-trial.js';
import {lowTraffic, rateOf, trialDefaults} from './trial-config.js';
import type {Disturbance, Outage, TrialConfig} from './trial-config.js';
import type {TrialResult} from './trial-result.js';

const outageLeadMs = 1_000;
const outageMs = 120_000;

/** Summary of a set of trials of one kind. @internal */
export interface TrialSummary {
  readonly trials: number;
  readonly takenBack: number;
  /** Done at or before the deadline. */
  readonly onTime: number;
  /**
   * Median of this ratio: calls to the new version from the onset of the fault
   * to 1 s after the decision to stop, divided by all calls to the service from
   * the first share to that time.
   */
  readonly badShare: number;
  /**
   * Like `badShare`, with all calls to the new version, also before the onset.
   */
  readonly newShare: number;
  /** Like `badShare`, divided by the calls to the service since the onset. */
  readonly shareSinceOnset: number;
  /** Median time from the onset to the decision, in seconds. */
  readonly detectionS: number;
  /** Longest time from the decision to the last call to the new version. */
  readonly lateMs: number;
  /**
   * Stored records whose step is not higher than the step before, over all
   * trials.
   */
  readonly rewrites: number;
  /** Seeds with a wrong end state, with share and reason. */
  readonly reasons: readonly string[];
}

/** Runs `trials` seeds of one kind. @internal */
export async function runTrials(
  kind: Partial<TrialConfig>,
  trials: number,
  firstSeed: number,
  disturbance: Disturbance | null = null,
): Promise<TrialSummary> {
  const results: {seed: number; result: TrialResult}[] = [];
  for (let i = 0; i < trials; i++) {
    const seed = firstSeed + i;
    // The rates are spread evenly over their range, independent of the seeds. A
    // single trial runs at a low rate, to save time in CI.
    const callsPerSecond = rateOf((i + 0.5) / Math.max(2, trials));
    const low = kind.good === 'lowTraffic' ? lowTraffic : {};
    const config = {...trialDefaults, callsPerSecond, seed, ...low, ...kind};
    results.push({seed, result: await runTrial(config, disturbance)});
  }
  const isBad = kind.fault != null;
  return summarize(results, isBad);
}

/**
 * Runs a trial. For a disturbance at a certain point, the seed first runs
 * without the disturbance, to find the time of that point.
 */
async function runTrial(
  config: TrialConfig,
  disturbance: Disturbance | null,
): Promise<TrialResult> {
  if (disturbance === 'twoControllers') {
    return new MoveTrial({...config, twoControllers: true}).run();
  }
  const plain = await new MoveTrial(config).run();
  if (disturbance === null) return plain;
  const {stepTimes, stopDecidedAt} = plain;
  const stepAt = stepTimes[Math.floor(stepTimes.length / 2)] ?? 0;
  const disturbed = {
    outageAtStop: {outage: outageBefore(stopDecidedAt)},
    outageAtStep: {outage: outageBefore(stepAt)},
    controllerLost: {controllerLostAt: stepAt},
  }[disturbance];
  return new MoveTrial({...config, ...disturbed}).run();
}

function outageBefore(at: number): Outage {
  return {at: at - outageLeadMs, forMs: outageMs};
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
    rewrites: results.reduce((sum, r) => sum + r.rewrites, 0),
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
