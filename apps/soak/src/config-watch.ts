import {setTimeout as sleep} from 'node:timers/promises';
import {configKey, configText} from '@verbenabeam/platform/fakes';
import type {KvStandin} from '@verbenabeam/platform/fakes';
import type {FaultLog} from './fault-log.js';
import type {Machine} from './machine.js';
import {Prober} from './prober.js';
import type {Promises} from './promises.js';

const pollMs = 100;
/** Time between two looks at a version that was in force. */
const againMs = 500;
const inForceWithinMs = 2_000;
/** Faults before a configuration was written that can make it late. */
const calmBeforeMs = 3_000;
const ok = 200;
const noRoute = 404;

/** Options of {@link ConfigWatch}. */
export interface ConfigWatchOptions {
  readonly machines: readonly Machine[];
  readonly store: KvStandin;
  readonly log: FaultLog;
  readonly promises: Promises;
  readonly signal: AbortSignal;
}

/** Writes configurations, each with a route of its own, and asks nodes for it. */
export class ConfigWatch {
  readonly #options: ConfigWatchOptions;
  readonly #prober = new Prober();
  /** Newest version that was seen in force, by machine. */
  readonly #seen = new Map<number, number>();
  /** Newest version that was found late, by machine. */
  readonly #late = new Map<number, number>();
  #version = 0;
  #writtenAt = 0;

  constructor(options: ConfigWatchOptions) {
    this.#options = options;
  }

  put(): void {
    this.#version++;
    const of = (service: string) => [
      {prefix: `/${service}safe/`, kind: 'safe'},
      {prefix: `/${service}once/`, kind: 'unsafe'},
    ];
    const versions = Array.from({length: this.#version}, (_, i) => ({
      prefix: `/config-${i + 1}/`,
      service: 'shop',
    }));
    const rules = [
      ...of('').map(rule => ({...rule, service: 'shop'})),
      ...of('stock-').map(rule => ({...rule, service: 'stock'})),
      ...versions,
    ];
    const text = configText(this.#version, rules, ['shop', 'stock']);
    this.#options.store.put(configKey, text);
    this.#writtenAt = performance.now();
  }

  /** Asks all nodes until the signal aborts. */
  async run(): Promise<void> {
    const {machines} = this.#options;
    await Promise.all(machines.map(machine => this.#follow(machine)));
    this.#prober.stop();
  }

  async #follow(machine: Machine): Promise<void> {
    const {signal} = this.#options;
    while (!signal.aborted) {
      const isNew = (this.#seen.get(machine.at) ?? 0) < this.#version;
      await sleep(isNew ? pollMs : againMs);
      await this.#look(machine);
    }
  }

  async #look(machine: Machine): Promise<void> {
    const {at} = machine;
    const {promises} = this.#options;
    const version = this.#version;
    const writtenAt = this.#writtenAt;
    const askedAt = performance.now();
    const status = await this.#prober.ask(machine.ip, `/config-${version}/x`);
    const seen = this.#seen.get(at) ?? 0;
    const details = () => ({
      machine: at,
      version,
      seen,
      log: machine.node.logFile,
      afterMs: Math.round(askedAt - writtenAt),
    });
    if (status === ok) {
      promises.check('configForward', true, details);
      if (seen >= version) return;
      this.#seen.set(at, version);
      if (this.#late.get(at) === version) return;
      promises.check('configInTime', true, details);
    } else if (status === noRoute) {
      promises.check('configForward', seen < version, details);
      const isLate = askedAt - writtenAt >= inForceWithinMs;
      if (!isLate || this.#late.get(at) === version) return;
      if (!this.#isCalm(at, writtenAt - calmBeforeMs)) return;
      this.#late.set(at, version);
      promises.check('configInTime', false, details);
    }
  }

  /** Whether neither the store nor the machine had a fault since then. */
  #isCalm(at: number, since: number): boolean {
    const touching = this.#options.log.between(
      since,
      performance.now(),
      ({kind, machines}) =>
        machines.includes(at)
          ? !kind.startsWith('upstream')
          : machines.length === 0,
    );
    return touching.length === 0;
  }
}
