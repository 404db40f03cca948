import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {startStoreStandin} from '@verbenabeam/app-store-standin';
import type {StoreStandin} from '@verbenabeam/app-store-standin';
import type {UpstreamStandin} from '@verbenabeam/app-upstream-standin';
import {newId} from '@verbenabeam/core';
import {checkRunLogs} from './run-checks.js';
import {RunCallers} from './run-callers.js';
import {RunMember} from './run-member.js';

const upstreamVersions = ['v1', 'v1', 'v1', 'v1', 'v2'];
const startLimitMs = 20_000;
/** Bound of P10 for an accepted version. */
const convergeMs = 10_000;
/** Longest call, drain and leave together. */
const quietMs = 15_000;
const pollMs = 20;

/** Whole nodes with upstreams, a store and callers in this process. */
export class RunWorld {
  readonly folder = mkdtempSync(path.join(tmpdir(), 'verbenabeam-run-'));
  readonly violations = new Set<string>();
  /** Times of events that may cut calls in flight. */
  readonly causes: number[] = [];
  readonly members = upstreamVersions.map(
    (version, i) => new RunMember(`n${i}`, version, this),
  );
  readonly callers = new RunCallers(this);
  readonly crashed = new Set<UpstreamStandin>();
  /** Upstreams started so far. */
  upstreams = 0;
  store!: StoreStandin;
  #documents = 0;
  readonly #accepted = new Set<number>();
  readonly #open = new Map<Promise<unknown>, string>();

  get up(): RunMember[] {
    return this.members.filter(member => member.state === 'up');
  }

  /** Starts everything and waits until each upstream can be called. */
  async start(): Promise<void> {
    this.store = await startStoreStandin();
    const [first, ...rest] = this.members;
    if (!first) return;
    await first.start([]);
    await Promise.all(rest.map(m => m.start([first.addresses.wire])));
    await this.until(
      () => this.up.every(m => m.node.parts.distribution.distributor.fleetView),
      'every node is ready for a version',
      startLimitMs,
    );
    await this.submit(first);
    await this.until(
      () => this.up.every(m => this.#sees(m)),
      'every node holds the version and sees all upstreams',
      startLimitMs,
    );
  }

  /** Heals all faults and checks that every node serves again. */
  async finish(): Promise<void> {
    this.store.setFaults({down: 'no', latencyMs: 0, loseResponses: 0});
    await this.#quiet();
    for (const member of this.members) {
      if (member.state === 'down') await this.restart(member);
    }
    const highest = Math.max(...this.#accepted);
    const converged = await this.#holds(
      () => this.up.every(m => this.versionOf(m) >= highest),
      convergeMs,
    );
    const versions = this.up.map(m => this.versionOf(m)).join();
    if (!converged) this.violations.add(`not at ${highest}: ${versions}`);
    for (const m of this.up) {
      const served = await this.#holds(
        async () => (await this.callers.read(m)) === 'ok',
        convergeMs,
      );
      if (!served)
        this.violations.add(
          `${m.name} does not serve again: ${this.callers.lastRefusal}`,
        );
    }
    checkRunLogs(this);
  }

  async close(): Promise<void> {
    await Promise.all(this.members.map(member => member.close()));
    await this.callers.close();
    await this.store.close();
    rmSync(this.folder, {recursive: true, force: true});
  }

  /** Submits a changed document; a version may be accepted only once. */
  async submit(member: RunMember, baseVersion?: number): Promise<void> {
    const accepted = await member.node.parts.distribution.submit({
      environment: 'production',
      text: documentText(++this.#documents),
      author: member.name,
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

  /** Starts a node at its former address; it knows the others. */
  async restart(member: RunMember): Promise<void> {
    const seeds = this.up.map(m => m.addresses.wire);
    const held = this.up.map(m => this.versionOf(m)).filter(v => v > 0);
    await member.start(seeds);
    if (held.length > 0) member.seenVersion = Math.min(...held);
  }

  versionOf(member: RunMember): number {
    return member.node.parts.distribution.current()?.version ?? 0;
  }

  /** Notes an event that may cut calls in flight. */
  cause(): void {
    this.causes.push(Date.now());
  }

  /** Starts work that the run waits for at its end. */
  background(name: string, work: Promise<unknown>): void {
    this.#open.set(work, name);
    const end = () => this.#open.delete(work);
    work.then(end, (err: unknown) => {
      end();
      this.violations.add(`${name} threw ${String(err)}`);
    });
  }

  sleep(ms: number): Promise<void> {
    return delay(ms);
  }

  async until(holds: () => boolean, what: string, ms: number): Promise<void> {
    if (!(await this.#holds(holds, ms))) throw new Error(`never: ${what}`);
  }

  async #holds(
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

  /** Waits for all steps to end; each has a limit of its own. */
  async #quiet(): Promise<void> {
    // Reads go on, so that late work at a leaving upstream would be seen.
    const isQuiet = async () => {
      await Promise.all(this.up.map(member => this.callers.read(member)));
      return this.#open.size === 0;
    };
    const ended = await this.#holds(isQuiet, quietMs);
    const open = [...this.#open.values()].join('; ');
    if (!ended) this.violations.add(`still open: ${open}`);
  }

  #sees(member: RunMember): boolean {
    const {membership} = member.node.parts;
    const ready = membership
      .live()
      .filter(row => row.upstream?.state === 'ready');
    return ready.length === this.members.length && this.versionOf(member) > 0;
  }
}

/** A document whose time limit differs from that of the one before. */
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
