import {Fleet} from '../fleet/fleet.js';
import type {Row} from '../report/part-result.js';
import {CallChanges, callUrl} from './call-changes.js';
import {CallMeasure} from './call-measure.js';
import {allCallPaths, CALL_PATHS, CallPaths} from './call-paths.js';
import type {CallLoad, CallPath} from './call-paths.js';
import {callScenarios, isChosen} from './call-scenarios.js';
import type {CallScenario} from './call-scenarios.js';
import type {PartOptions} from './part-options.js';
import {warmUp} from './warm-up.js';

/** Short windows alternate, so that all paths meet the same other work. */
const windowSeconds = 1;
const firstWarmUp = {url: callUrl, rate: 600, bytes: 1_024};
/**
 * Bounds that keep the part under 3 minutes: with 4 s measured for each of 3
 * paths, 8 rows take at most 20 + 8 * (5 + 12) s and about 10 s to start.
 */
const maxFirstWarmUpSeconds = 20;
const maxWarmUpSeconds = 5;

/** Entry and serving node in one process each, and the paths to measure. */
class CallBench {
  readonly #fleet: Fleet;
  readonly #paths: CallPaths;
  readonly #changes: CallChanges;

  constructor(fleet: Fleet, addresses: Readonly<Record<CallPath, string>>) {
    this.#fleet = fleet;
    this.#paths = new CallPaths(addresses);
    this.#changes = new CallChanges(fleet, fleet.addHost());
  }

  /** Makes the route known and compiles the hot code. */
  async prepare(): Promise<void> {
    await this.#changes.submit();
    await this.#warmUp(firstWarmUp, maxFirstWarmUpSeconds);
  }

  async measure(scenario: CallScenario, seconds: number): Promise<Row> {
    const {rate, bytes} = scenario;
    const load = {url: callUrl, rate, bytes};
    const warm = await this.#warmUp(load, maxWarmUpSeconds);
    const measure = new CallMeasure();
    const window = Math.min(windowSeconds, seconds);
    for (let done = 0; done < seconds; done += window) {
      for (const path of allCallPaths) {
        const isMesh = path === CALL_PATHS.mesh;
        const before = isMesh ? await this.#cpu() : [];
        const changing =
          isMesh && scenario.during === 'changes'
            ? this.#changes.run(window)
            : null;
        const result = await this.#paths.run(path, {...load, seconds: window});
        await changing;
        measure.add(path, result);
        if (isMesh) measure.addCpu(before, await this.#cpu());
      }
    }
    return measure.row(scenario, warm);
  }

  async end(): Promise<void> {
    await this.#paths.close();
    await this.#fleet.end();
  }

  #warmUp(load: Omit<CallLoad, 'seconds'>, maxSeconds: number) {
    const cpuMs = () => this.#cpu();
    return warmUp({paths: this.#paths, load, maxSeconds, cpuMs});
  }

  /** Processor time of the entry and of the serving process, in ms. */
  #cpu(): Promise<number[]> {
    const hosts = this.#fleet.hosts.slice(0, 2);
    return Promise.all(
      hosts.map(async host => (await host.run('process', null)).cpuMs),
    );
  }
}

/** Call overhead against the upstream called directly. @internal */
export async function measureCalls(options: PartOptions): Promise<Row[]> {
  const {seconds, only} = options;
  const chosen = callScenarios.filter(scenario => isChosen(scenario, only));
  if (chosen.length === 0) throw new Error(`no row has the labels "${only}"`);
  const fleet = await Fleet.start({
    nodes: 2,
    perProcess: 1,
    dataCentres: 1,
    services: 3,
  });
  const [entry, serving] = fleet.hosts;
  const last = await serving?.run('relay', fleet.upstream);
  const relay = await entry?.run('relay', last ?? '');
  const bench = new CallBench(fleet, {
    direct: fleet.upstream,
    relay: relay ?? '',
    mesh: fleet.nodes[0]?.addresses.callers ?? '',
  });
  const rows: Row[] = [];
  try {
    await bench.prepare();
    for (const scenario of chosen) {
      rows.push(await bench.measure(scenario, seconds));
    }
  } finally {
    await bench.end();
  }
  return rows;
}
