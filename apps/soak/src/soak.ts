import {setMaxListeners} from 'node:events';
import {mkdirSync} from 'node:fs';
import path from 'node:path';
import {monitorEventLoopDelay} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {seededRandom} from '@verbenabeam/core';
import {KvStandin} from '@verbenabeam/platform/fakes';
import {Addresses, PORTS} from './addresses.js';
import {CallJudge} from './call-judge.js';
import {CallLoad} from './call-load.js';
import {ConfigWatch} from './config-watch.js';
import type {FaultWorld} from './fault-handlers.js';
import {FaultLog} from './fault-log.js';
import {FaultPlan} from './fault-plan.js';
import {LeftUpstreams} from './left-upstreams.js';
import {LinkProxy} from './link-proxy.js';
import {Machine} from './machine.js';
import {Promises} from './promises.js';
import {Prober} from './prober.js';
import {NODE_ENDS} from './soak-node.js';
import type {SoakNode} from './soak-node.js';
import {StopSeries} from './stop-series.js';

/** Options of {@link runSoak}. */
export interface SoakOptions {
  readonly seed: number;
  readonly nodes: number;
  /** Time with faults. */
  readonly seconds: number;
  /** Stops this many nodes as planned in place of other faults; 0: none. */
  readonly stops: number;
  /** The store also comes back from copies. */
  readonly drills: boolean;
  /** Calls a second at each node. */
  readonly rate: number;
}

/** What a soak found. */
export interface SoakReport {
  readonly isKept: boolean;
  readonly lines: readonly string[];
}

const pollMs = 50;
const startWithinMs = 30_000;
const servedAgainWithinMs = 15_000;
/** Calls go on for this time after the faults. */
const calmMs = 3_000;
const drainWithinMs = 10_000;
const leaveShare = 0.01;
/** Faults that last at the same time, at most. */
const maxPauses = 1_000;
const msPerSecond = 1_000;
const ok = 200;
const nsPerMs = 1_000_000;
const probes = ['/safe/work-1', '/stock-safe/work-1'] as const;
const badLines = /"msg":"(Unexpected error\.|Invariant violated\.)"/;

/** Runs nodes as processes with faults, and checks what is promised meanwhile. */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  const addresses = await Addresses.take();
  const soak = new Soak(options, addresses);
  try {
    return await soak.run();
  } finally {
    await soak.stop();
    addresses.free();
  }
}

class Soak {
  readonly #options: SoakOptions;
  readonly #addresses: Addresses;
  readonly #folder: string;
  readonly #log: FaultLog;
  readonly #promises: Promises;
  readonly #store = new KvStandin();
  readonly #storeProxy = new LinkProxy(() => this.#store.address);
  readonly #machines: Machine[];
  readonly #judge: CallJudge;
  readonly #configs: ConfigWatch;
  readonly #watching = new AbortController();
  readonly #calling = new AbortController();
  readonly #faults = new AbortController();
  readonly #left: LeftUpstreams;
  readonly #prober = new Prober();
  readonly #delay = monitorEventLoopDelay();
  #isStopping = false;

  constructor(options: SoakOptions, addresses: Addresses) {
    this.#options = options;
    this.#addresses = addresses;
    const name = `${options.seed}-${Date.now()}`;
    this.#folder = path.resolve('tmp/soak', name);
    mkdirSync(this.#folder, {recursive: true});
    this.#log = new FaultLog(path.join(this.#folder, 'faults.jsonl'));
    this.#promises = new Promises(path.join(this.#folder, 'findings.jsonl'));
    this.#machines = Array.from({length: options.nodes}, (_, i) =>
      this.#machine(i + 1),
    );
    const shared = {
      machines: this.#machines,
      log: this.#log,
      promises: this.#promises,
    };
    this.#left = new LeftUpstreams(this.#log, this.#promises);
    this.#judge = new CallJudge({...shared, onlyStops: options.stops > 0});
    this.#configs = new ConfigWatch({
      ...shared,
      store: this.#store,
      signal: this.#watching.signal,
    });
  }

  async run(): Promise<SoakReport> {
    await this.#store.start();
    if (this.#options.drills) this.#store.beginEras();
    await this.#storeProxy.start(this.#addresses.store, PORTS.store);
    this.#configs.put();
    for (const machine of this.#machines) await machine.start();
    await this.#untilServed(startWithinMs);
    this.#delay.enable();
    const loads = this.#machines.map(machine => this.#load(machine));
    const runs = loads.map(load => load.run());
    const watch = this.#configs.run();
    const reading = setInterval(() => this.#judge.readRuns(), pollMs);
    const stops = await this.#injectFaults();
    const isServed = await this.#untilServed(servedAgainWithinMs).then(
      () => true,
      () => false,
    );
    this.#promises.check('servedAgain', isServed, () => ({
      folder: this.#folder,
    }));
    await sleep(calmMs);
    this.#calling.abort();
    this.#watching.abort();
    await Promise.all([...runs, watch]);
    const endAt = performance.now() + drainWithinMs;
    while (!loads.map(load => load.close()).every(Boolean)) {
      if (performance.now() > endAt) break;
      await sleep(pollMs);
    }
    clearInterval(reading);
    this.#judge.finish();
    this.#left.check();
    this.#checkLogs();
    return this.#report(stops);
  }

  async stop(): Promise<void> {
    this.#isStopping = true;
    for (const controller of [this.#faults, this.#calling, this.#watching]) {
      controller.abort();
    }
    await Promise.all(this.#machines.map(machine => machine.stop()));
    this.#prober.stop();
    this.#storeProxy.stop();
    this.#store.stop();
  }

  /** Resolves with the number of planned stops of a series. */
  async #injectFaults(): Promise<number> {
    const {seed, seconds, stops} = this.#options;
    const {signal} = this.#faults;
    setMaxListeners(maxPauses, signal);
    const world: FaultWorld = {
      machines: this.#machines,
      store: this.#store,
      storeProxy: this.#storeProxy,
      configs: this.#configs,
      log: this.#log,
      promises: this.#promises,
      pause: ms => sleep(ms, undefined, {signal}).catch(() => undefined),
      onLeft: (machine, server) => this.#left.add(machine, server),
    };
    if (stops > 0) {
      const series = new StopSeries(world, seed, machine =>
        this.#isServed(machine, probes[0]),
      );
      await series.run(stops);
      return series.stops;
    }
    const plan = new FaultPlan(world, seededRandom(seed), this.#options.drills);
    await plan.run(seconds * msPerSecond);
    this.#faults.abort();
    await plan.settle();
    return 0;
  }

  #machine(at: number): Machine {
    return new Machine({
      at,
      service: at % 2 === 1 ? 'shop' : 'stock',
      addresses: this.#addresses,
      folder: this.#folder,
      onExit: (machine, node) => this.#onExit(machine, node),
    });
  }

  #load({at, ip}: Machine): CallLoad {
    const {rate, seed, nodes, stops} = this.#options;
    return new CallLoad({
      entry: at,
      host: ip,
      rate,
      random: seededRandom(seed * (nodes + 1) + at),
      leaveShare: stops > 0 ? 0 : leaveShare,
      signal: this.#calling.signal,
      onCall: call => this.#judge.add(call),
      handlers: this.#judge.handlers,
    });
  }

  #onExit(machine: Machine, node: SoakNode): void {
    if (this.#isStopping) return;
    const isStopped = node.told === NODE_ENDS.stop && node.status === 0;
    const holds = isStopped || node.told === NODE_ENDS.kill;
    this.#promises.check('alive', holds, () => ({
      machine: machine.at,
      told: node.told,
      status: node.status,
      log: node.logFile,
    }));
  }

  #checkLogs(): void {
    for (const {nodes} of this.#machines) {
      for (const node of nodes) {
        const found = node
          .log()
          .split('\n')
          .find(line => badLines.test(line));
        this.#promises.check('noError', found === undefined, () => ({
          log: node.logFile,
          line: found,
        }));
      }
    }
  }

  /** Resolves once each node answers calls of each service; else throws. */
  async #untilServed(withinMs: number): Promise<void> {
    const endAt = performance.now() + withinMs;
    await Promise.all(
      this.#machines.map(async machine => {
        for (const probe of probes) {
          while (!(await this.#isServed(machine, probe))) {
            if (performance.now() > endAt) {
              throw new Error(`${probe} is not served at node ${machine.at}`);
            }
            await sleep(pollMs);
          }
        }
      }),
    );
  }

  async #isServed({ip}: Machine, path: string): Promise<boolean> {
    const status = await this.#prober.ask(ip, path);
    return status === ok;
  }

  #report(stops: number): SoakReport {
    const {seed, nodes} = this.#options;
    const faults = Object.entries(this.#log.counts()).sort();
    const lateMs = Math.round(this.#delay.max / nsPerMs);
    return {
      isKept: this.#promises.isKept,
      lines: [
        `seed ${seed}, ${nodes} nodes${stops > 0 ? `, ${stops} stops` : ''}`,
        `faults: ${faults.map(([kind, n]) => `${kind} ${n}`).join(', ')}`,
        ...this.#promises.report(),
        `the checker itself was at most ${lateMs} ms late`,
        `logs: ${this.#folder}`,
      ],
    };
  }
}
