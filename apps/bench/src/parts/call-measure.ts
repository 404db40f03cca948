import type {Histogram} from 'hdr-histogram-js';
import type {Row} from '../report/part-result.js';
import {currentLoad} from '../report/machine.js';
import {allCallPaths} from './call-paths.js';
import type {CallPath} from './call-paths.js';
import type {CallScenario} from './call-scenarios.js';
import {newLatencies, percentileMs} from './open-loop.js';
import type {OpenLoopResult} from './open-loop.js';
import type {WarmUpResult} from './warm-up.js';

const percentiles = [
  ['P50', 50],
  ['P99', 99],
  ['P999', 99.9],
] as const;

/** Adds up the windows of one scenario. @internal */
export class CallMeasure {
  readonly #all: Readonly<Record<CallPath, Histogram>> = {
    direct: newLatencies(),
    relay: newLatencies(),
    mesh: newLatencies(),
  };
  readonly #lateness = newLatencies();
  /** Processor time of entry and serving process in mesh windows, in ms. */
  readonly #cpuMs: [number, number] = [0, 0];
  /** p99 of each window, in ms. */
  readonly #p99Ms: Readonly<Record<CallPath, number[]>> = {
    direct: [],
    relay: [],
    mesh: [],
  };
  #failed = 0;

  add(path: CallPath, {latencies, lateness, failed}: OpenLoopResult): void {
    this.#all[path].add(latencies);
    this.#p99Ms[path].push(percentileMs(latencies, 99));
    this.#lateness.add(lateness);
    this.#failed += failed;
  }

  /** Takes the processor times before and after a mesh window. */
  addCpu(before: readonly number[], after: readonly number[]): void {
    this.#cpuMs[0] += (after[0] ?? 0) - (before[0] ?? 0);
    this.#cpuMs[1] += (after[1] ?? 0) - (before[1] ?? 0);
  }

  row({rate, bytes, during}: CallScenario, warm: WarmUpResult): Row {
    const {direct, mesh} = this.#all;
    const calls = mesh.totalCount;
    const values: Record<string, number> = {calls, failed: this.#failed};
    for (const [name, percent] of percentiles) {
      for (const path of allCallPaths) {
        const key = `${path}${name}Ms`;
        values[key] = percentileMs(this.#all[path], percent);
      }
      values[`added${name}Ms`] =
        percentileMs(mesh, percent) - percentileMs(direct, percent);
    }
    values['addedP99MedianMs'] = this.#medianAddedMs();
    values['entryCpuMsPerCall'] = this.#cpuMs[0] / calls;
    values['servingCpuMsPerCall'] = this.#cpuMs[1] / calls;
    values['generatorLateP99Ms'] = percentileMs(this.#lateness, 99);
    values['warmUpSeconds'] = warm.seconds;
    values['warmUpSteady'] = warm.steady ? 1 : 0;
    return {labels: {rate, bytes, during}, values, load: currentLoad()};
  }

  /**
   * Median over the rounds of the added p99: a burst of other work on the
   * machine falls into one window, and would decide the p99 of all windows.
   */
  #medianAddedMs(): number {
    const {direct, mesh} = this.#p99Ms;
    const added = mesh.map((ms, i) => ms - (direct[i] ?? 0));
    added.sort((a, b) => a - b);
    const middle = (added.length - 1) / 2;
    const low = added[Math.floor(middle)] ?? 0;
    const high = added[Math.ceil(middle)] ?? 0;
    return (low + high) / 2;
  }
}
