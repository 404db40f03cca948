import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {startStoreStandin} from '@verbenabeam/app-store-standin';
import type {StoreStandin} from '@verbenabeam/app-store-standin';
import type {UpstreamStandin} from '@verbenabeam/app-upstream-standin';
import {newId} from '@verbenabeam/core';
import {checkRunLogs} from './run-log-checks.js';
import {TestCallers} from './test-callers.js';
import {TestInstance} from './test-instance.js';

const upstreamVersions = ['v1', 'v1', 'v1', 'v1', 'v2'];
const startLimitMs = 20_000;
/** Limit of guarantee P10 for the spread of an accepted version. */
const convergenceLimitMs = 10_000;
/** Longest call, drain and leave in sum. */
const settleLimitMs = 15_000;
const pollMs = 20;

/** Complete nodes with upstreams, a store and callers in one process. */
export class TestMesh {
  readonly folder = mkdtempSync(path.join(tmpdir(), 'verbenabeam-run-'));
  readonly violations = new Set<string>();
  /** Wall-clock times of events that may interrupt calls in flight. */
  readonly disruptions: number[] = [];
  readonly instances = upstreamVersions.map(
    (version, i) => new TestInstance(`n${i}`, version, this),
  );
  readonly callers = new TestCallers(this);
  readonly crashed = new Set<UpstreamStandin>();
  /** Number of upstreams started so far. */
  startedUpstreams = 0;
  store!: StoreStandin;
  #documentCount = 0;
  readonly #accepted = new Set<number>();
  readonly #pending = new Map<Promise<unknown>, string>();

  get up(): TestInstance[] {
    return this.instances.filter(instance => instance.state === 'up');
  }

  /** Starts the mesh and waits until every node can call every upstream. */
  async start(): Promise<void> {
    this.store = await startStoreStandin();
    const [first, ...rest] = this.instances;
    if (!first) return;
    await first.start([]);
    await Promise.all(rest.map(m => m.start([first.addresses.wire])));
    await this.waitUntil(
      () => this.up.every(m => m.node.parts.distribution.distributor.fleetView),
      'every node is ready for a configuration version',
      startLimitMs,
    );
    await this.submit(first);
    await this.waitUntil(
      () => this.up.every(m => this.#seesAllUpstreams(m)),
      'every node has the configuration version and sees all upstreams',
      startLimitMs,
    );
  }

  /** Ends all faults and checks that every node converges and serves calls. */
  async finish(): Promise<void> {
    this.store.setFaults({down: 'no', latencyMs: 0, loseResponses: 0});
    await this.#settle();
    for (const instance of this.instances) {
      if (instance.state === 'down') await this.restart(instance);
    }
    const highest = Math.max(...this.#accepted);
    const converged = await this.#eventually(
      () => this.up.every(m => this.versionOf(m) >= highest),
      convergenceLimitMs,
    );
    const versions = this.up.map(m => this.versionOf(m)).join();
    if (!converged)
      this.violations.add(`not every node has version ${highest}: ${versions}`);
    for (const m of this.up) {
      const served = await this.#eventually(
        async () => (await this.callers.read(m)) === 'ok',
        convergenceLimitMs,
      );
      if (!served)
        this.violations.add(
          `${m.name} does not serve again: ${this.callers.lastRefusal}`,
        );
    }
    checkRunLogs(this);
  }

  async close(): Promise<void> {
    await Promise.all(this.instances.map(instance => instance.close()));
    await this.callers.close();
    await this.store.close();
    rmSync(this.folder, {recursive: true, force: true});
  }

  /**
   * Submits a changed document and checks that each version is accepted only
   * once.
   */
  async submit(instance: TestInstance, baseVersion?: number): Promise<void> {
    const accepted = await instance.node.parts.distribution.submit({
      environment: 'production',
      text: documentText(++this.#documentCount),
      author: instance.name,
      operationId: newId(),
      ...(baseVersion === undefined ? {} : {baseVersion}),
    });
    if (accepted.isErr) return;
    const {version} = accepted.value.metadata;
    if (this.#accepted.has(version)) {
      this.violations.add(`version ${version} was accepted twice`);
    }
    this.#accepted.add(version);
  }

  /**
   * Starts a node again at its former addresses, with the running nodes as
   * seeds.
   */
  async restart(instance: TestInstance): Promise<void> {
    const seeds = this.up.map(m => m.addresses.wire);
    const held = this.up.map(m => this.versionOf(m)).filter(v => v > 0);
    await instance.start(seeds);
    if (held.length > 0) instance.seenVersion = Math.min(...held);
  }

  versionOf(instance: TestInstance): number {
    return instance.node.parts.distribution.current()?.version ?? 0;
  }

  /** Records the time of an event that may interrupt calls in flight. */
  recordDisruption(): void {
    this.disruptions.push(Date.now());
  }

  /** Tracks work that must end before the test run ends. */
  runInBackground(name: string, work: Promise<unknown>): void {
    this.#pending.set(work, name);
    const end = () => this.#pending.delete(work);
    work.then(end, (err: unknown) => {
      end();
      this.violations.add(`${name} threw ${String(err)}`);
    });
  }

  sleep(ms: number): Promise<void> {
    return delay(ms);
  }

  async waitUntil(
    holds: () => boolean,
    what: string,
    ms: number,
  ): Promise<void> {
    if (!(await this.#eventually(holds, ms)))
      throw new Error(`timed out: ${what}`);
  }

  async #eventually(
    holds: () => boolean | Promise<boolean>,
    ms: number,
  ): Promise<boolean> {
    const endAt = Date.now() + ms;
    while (!(await holds())) {
      if (Date.now() > endAt) return false;
      await delay(pollMs);
    }
    return true;
  }

  /** Waits for the work of all steps; each step limits its own duration. */
  async #settle(): Promise<void> {
    // Reads continue, so that late calls at a leaving upstream are recorded.
    const isSettled = async () => {
      await Promise.all(this.up.map(instance => this.callers.read(instance)));
      return this.#pending.size === 0;
    };
    const ended = await this.#eventually(isSettled, settleLimitMs);
    const open = [...this.#pending.values()].join('; ');
    if (!ended) this.violations.add(`still running: ${open}`);
  }

  #seesAllUpstreams(instance: TestInstance): boolean {
    const {membership} = instance.node.parts;
    const ready = membership
      .live()
      .filter(row => row.upstream?.state === 'ready');
    return (
      ready.length === this.instances.length && this.versionOf(instance) > 0
    );
  }
}

/** Returns a document; the number changes the timeout of its routes. */
function documentText(number: number): string {
  const route = (name: string, prefix: string, method: string) => `
[[routes]]
name = "${name}"
service = "mesh"
path_prefix = "${prefix}"
methods = ["${method}"]
timeout = "${3_000 + number}ms"
`;
  return `
[policy]
strictness = "fast"

[services.mesh]
versions = ["v1", "v2"]
current = "v1"
${route('read', '/read', 'GET')}
${route('put', '/put', 'PUT')}
${route('write', '/write', 'POST')}
${route('crash', '/crash', 'GET')}
[[moves]]
id = "to-v2"
service = "mesh"
to = "v2"
deadline = ${new Date(Date.now() + 3_600_000).toISOString()}
`;
}
