import assert from 'node:assert/strict';
import {existsSync, readFileSync} from 'node:fs';
import path from 'node:path';
import type {CallRecord, StatusResponse} from '@verbenabeam/admin-api';
import {VERSION_CODES} from '@verbenabeam/core';
import {
  Environment,
  operatorToken,
  waitUntil,
} from '../../../../scripts/lib/environment.mjs';
import type {
  Ended,
  Instance,
  InstanceSpec,
} from '../../../../scripts/lib/environment.mjs';
import {fleetDocument, fleetService} from './fleet-document.js';
import {SteadyLoad} from './steady-load.js';
import type {SeenCall} from './steady-load.js';

const dataCentres = ['cz-1', 'cz-2'];
const requestTimeoutMs = 3_000;
/** Failed calls of a scenario that are explained. */
const maxExplained = 3;

/** One line of the upstream stand-ins' run log. */
interface RunLogLine {
  readonly at: number;
  readonly pid: number;
  readonly event: 'run' | 'leaving';
  readonly path?: string;
  readonly key?: string;
}

/** Processes of one scenario: store, nodes with upstreams, and a load. @internal */
export class Fleet {
  readonly env = new Environment({env: {DEBUG: 'verbenabeam:wire'}});
  readonly load = new SteadyLoad();
  /** Result of the last command. */
  last: Ended = {status: null, out: '', err: ''};
  #documents = 0;

  /** Starts the store and instances in two data centres. */
  async start(count: number, upstreamArgs: readonly string[] = []) {
    await this.env.startStore();
    const specs = Array.from({length: count}, (_, i) =>
      this.spec(i, upstreamArgs),
    );
    const [first, ...rest] = specs;
    assert.ok(first);
    await this.env.startInstance(first);
    await Promise.all(rest.map(spec => this.env.startInstance(spec)));
    this.env.instances.sort((a, b) => a.name.localeCompare(b.name));
  }

  spec(index: number, upstreamArgs: readonly string[] = []): InstanceSpec {
    return {
      name: `n${index + 1}`,
      service: fleetService,
      dataCentre: dataCentres[index % dataCentres.length] ?? '',
      upstreamArgs: ['--run-log', this.runLogFile, ...upstreamArgs],
    };
  }

  get runLogFile(): string {
    return path.join(this.env.folder, 'runs.ndjson');
  }

  /** An instance by its number, from 1. */
  instance(number: number): Instance {
    const found = this.env.instances.find(i => i.name === `n${number}`);
    assert.ok(found, `no instance n${number}`);
    return found;
  }

  /** Writes a document and submits it at a node. */
  async submit(
    text: string,
    at = 1,
    options: readonly string[] = [],
    token?: string,
  ): Promise<Ended> {
    const file = this.env.writeDocument(`d${++this.#documents}.toml`, text);
    const args = ['submit', file, '--author', `n${at}`, ...options];
    this.last = await this.env.cliAt(this.instance(at), args, token);
    return this.last;
  }

  /** Submits the first document and starts the load once all nodes hold it. */
  async begin(callsPerSecond: number): Promise<void> {
    await waitUntil(
      async () => (await this.status(1)).nodes.length === this.members.length,
      'every node knows the others',
    );
    await this.#submitFirst();
    await this.untilAllHold(1);
    await this.env.untilReady();
    await waitUntil(async () => {
      const {nodes} = await this.status(1);
      return nodes.every(node => node.upstreamState === 'ready');
    }, 'every upstream is ready');
    this.load.start(this.callers(), callsPerSecond);
    await this.load.untilAnswered(callsPerSecond);
  }

  /** Repeats the first submit while its node has not learned the fleet's version. */
  async #submitFirst(): Promise<void> {
    const accepted = async () => {
      const {status, err} = await this.submit(fleetDocument());
      if (err.includes(`error ${VERSION_CODES.notReady.code} `)) return false;
      assert.equal(status, 0, err);
      return true;
    };
    await waitUntil(accepted, 'node 1 accepts the first document');
  }

  /** Instances of the environment itself, without the trial environment. */
  get members(): Instance[] {
    return this.env.instances.filter(i => i.environment === undefined);
  }

  callers(): string[] {
    return this.members.map(i => i.node.info['callers'] ?? '');
  }

  async status(at: number): Promise<StatusResponse> {
    return this.statusOf(this.instance(at));
  }

  async statusOf(instance: Instance): Promise<StatusResponse> {
    const res = await fetch(`http://${instance.node.info['admin']}/v1/status`, {
      headers: {authorization: `Bearer ${operatorToken}`},
      signal: AbortSignal.timeout(requestTimeoutMs),
    });
    return (await res.json()) as StatusResponse;
  }

  /** What the fleet knows of a call. */
  async explain(callId: string): Promise<CallRecord> {
    const {status, out, err} = await this.env.cliAt(this.instance(1), [
      'explain',
      callId,
      '--json',
    ]);
    assert.equal(status, 0, err);
    return JSON.parse(out) as CallRecord;
  }

  /** Adds to failed calls, of which the first are explained, their attempts. */
  async withAttempts(calls: readonly SeenCall[]) {
    const explained = [];
    // Each needs a process of its own, so one at a time.
    for (const call of calls.slice(0, maxExplained)) {
      if (call.callId === '') {
        explained.push(call);
        continue;
      }
      const record = await this.explain(call.callId).catch(String);
      const attempts = typeof record === 'string' ? record : record.attempts;
      explained.push({...call, attempts: JSON.stringify(attempts)});
    }
    return [...explained, ...calls.slice(maxExplained)];
  }

  /** Versions that the nodes themselves report. */
  async versions(): Promise<number[]> {
    const all = await Promise.all(this.members.map(i => this.statusOf(i)));
    return all.map(status => status.configVersion);
  }

  async untilAllHold(version: number, timeoutMs = 15_000): Promise<void> {
    await waitUntil(
      async () => (await this.versions()).every(v => v === version),
      `every node holds version ${version}`,
      timeoutMs,
    );
  }

  /** Sets faults of the store, or saves or restores its state. */
  async controlStore(command: string, body: object = {}) {
    const res = await fetch(
      `${this.env.store.info['url']}/control/${command}`,
      {
        method: 'POST',
        body: JSON.stringify(body),
        signal: AbortSignal.timeout(requestTimeoutMs),
      },
    );
    assert.equal(res.status, 200, await res.clone().text());
    return (await res.json()) as {
      counts: {total: number; writes: number};
    };
  }

  /** Lines of the run log, of all upstreams that ever ran. */
  runLog(): RunLogLine[] {
    if (!existsSync(this.runLogFile)) return [];
    return readFileSync(this.runLogFile, 'utf8')
      .split('\n')
      .filter(Boolean)
      .map(line => JSON.parse(line) as RunLogLine);
  }

  /** Executions by idempotency key. */
  runsByKey(): Map<string, number> {
    const counts = new Map<string, number>();
    for (const {event, key} of this.runLog()) {
      if (event !== 'run' || key === undefined) continue;
      counts.set(key, (counts.get(key) ?? 0) + 1);
    }
    return counts;
  }

  async kill(): Promise<void> {
    await this.load.stop();
    await this.env.kill();
  }
}
