import {setTimeout as sleep} from 'node:timers/promises';
import {seededRandom} from '@verbenabeam/core';
import {Pool} from 'undici';
import {Fleet} from '../fleet/fleet.js';
import type {Host} from '../fleet/host.js';
import {currentLoad} from '../report/machine.js';
import type {Row} from '../report/part-result.js';
import {
  newLatencies,
  percentileMs,
  runOpenLoop,
  sendCall,
} from './open-loop.js';
import type {PartOptions} from './part-options.js';

const rounds = 2;
const warmUpCalls = 1_000;
const activeTimeoutMs = 10_000;
const connections = 64;
const callPath = '/read';
const seed = 1;

interface Scenario {
  readonly rate: number;
  readonly bytes: number;
  /** A version is accepted and a node joins and leaves during the calls. */
  readonly changes: boolean;
}

const quiet = [1_024, 65_536].flatMap(bytes =>
  [100, 300, 600].map(rate => ({rate, bytes, changes: false})),
);
const scenarios: readonly Scenario[] = [
  ...quiet,
  {rate: 300, bytes: 1_024, changes: true},
  {rate: 300, bytes: 65_536, changes: true},
];

/** The document; only the timeout differs between its versions. */
function callDocument(timeout: string): string {
  return `
[policy]
strictness = "careful"

[services.service-1]
versions = ["v1"]
current = "v1"

[[routes]]
name = "read"
service = "service-1"
path_prefix = "${callPath}"
methods = ["POST"]
idempotent = true
timeout = "${timeout}"
`;
}

/** Entry and serving node in one process each, and the paths to measure. */
class CallBench {
  readonly #fleet: Fleet;
  readonly #spare: Host;
  readonly #pools: Readonly<Record<'direct' | 'relay' | 'mesh', Pool>>;
  readonly #random = seededRandom(seed);
  #submits = 0;

  constructor(fleet: Fleet, relay: string) {
    this.#fleet = fleet;
    this.#spare = fleet.addHost();
    const open = (address = '') => new Pool(`http://${address}`, {connections});
    this.#pools = {
      direct: open(fleet.upstream),
      relay: open(relay),
      mesh: open(fleet.nodes[0]?.addresses.callers),
    };
  }

  async warmUp(): Promise<void> {
    await this.#submit();
    await this.#spare.run('process', null);
    const body = Buffer.alloc(1_024, 'x');
    for (const [name, pool] of Object.entries(this.#pools)) {
      let failed = 0;
      for (let i = 0; i < warmUpCalls; i++) {
        if (!(await sendCall(pool, callPath, body))) failed++;
      }
      if (failed > 0)
        throw new Error(`${failed} warm-up calls failed: ${name}`);
    }
  }

  async measure(scenario: Scenario, seconds: number): Promise<Row> {
    const {rate, bytes, changes} = scenario;
    const body = Buffer.alloc(bytes, 'x');
    const all = {
      direct: newLatencies(),
      relay: newLatencies(),
      mesh: newLatencies(),
    };
    const cpuMs = [0, 0];
    let failed = 0;
    for (let round = 0; round < rounds; round++) {
      for (const path of ['direct', 'relay', 'mesh'] as const) {
        const before = await this.#cpu();
        const pool = this.#pools[path];
        const changing =
          changes && path === 'mesh' ? this.#change(seconds) : null;
        const result = await runOpenLoop({
          ...{pool, path: callPath, body, seconds},
          ...{callsPerSecond: rate, random: this.#random},
        });
        await changing;
        failed += result.failed;
        all[path].add(result.latencies);
        if (path !== 'mesh') continue;
        const after = await this.#cpu();
        after.forEach(
          (ms, i) => (cpuMs[i] = (cpuMs[i] ?? 0) + ms - (before[i] ?? 0)),
        );
      }
    }
    const calls = all.mesh.totalCount;
    const values: Record<string, number> = {calls, failed};
    for (const [name, percent] of [
      ['P50', 50],
      ['P99', 99],
      ['P999', 99.9],
    ] as const) {
      const direct = percentileMs(all.direct, percent);
      const mesh = percentileMs(all.mesh, percent);
      values[`direct${name}Ms`] = direct;
      values[`relay${name}Ms`] = percentileMs(all.relay, percent);
      values[`mesh${name}Ms`] = mesh;
      values[`added${name}Ms`] = mesh - direct;
    }
    values['entryCpuMsPerCall'] = (cpuMs[0] ?? 0) / calls;
    values['servingCpuMsPerCall'] = (cpuMs[1] ?? 0) / calls;
    const during = changes ? 'changes' : 'quiet';
    return {labels: {rate, bytes, during}, values, load: currentLoad()};
  }

  async end(): Promise<void> {
    await Promise.all(Object.values(this.#pools).map(pool => pool.destroy()));
    await this.#fleet.end();
  }

  /** Processor time of the entry and of the serving process, in ms. */
  #cpu(): Promise<number[]> {
    const hosts = this.#fleet.hosts.slice(0, 2);
    return Promise.all(
      hosts.map(async host => (await host.run('process', null)).cpuMs),
    );
  }

  async #submit(): Promise<void> {
    const text = callDocument(`${5 + this.#submits++}s`);
    const {version} = await this.#fleet.submit(text);
    const {missing} = await this.#fleet.awaitVersion(version, activeTimeoutMs);
    if (missing > 0) throw new Error(`version ${version} is not active`);
  }

  async #change(seconds: number): Promise<void> {
    const quarterMs = seconds * 250;
    await sleep(quarterMs);
    await this.#submit();
    await sleep(quarterMs);
    // Service 0 has no route, so that no call is sent to the joining node.
    const node = await this.#fleet.addNode(3, this.#spare);
    await sleep(quarterMs);
    await this.#fleet.removeNodes([node]);
  }
}

/** Call overhead against the upstream called directly. @internal */
export async function measureCalls({seconds}: PartOptions): Promise<Row[]> {
  const fleet = await Fleet.start({
    nodes: 2,
    perProcess: 1,
    dataCentres: 1,
    services: 3,
  });
  const [entry, serving] = fleet.hosts;
  const last = await serving?.run('relay', fleet.upstream);
  const relay = await entry?.run('relay', last ?? '');
  const bench = new CallBench(fleet, relay ?? '');
  const rows: Row[] = [];
  try {
    await bench.warmUp();
    for (const scenario of scenarios) {
      rows.push(await bench.measure(scenario, seconds));
    }
  } finally {
    await bench.end();
  }
  return rows;
}
