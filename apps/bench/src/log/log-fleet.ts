import {fork} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {mkdirSync, writeFileSync} from 'node:fs';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {
  bootText,
  configKey,
  configText,
  KvStandin,
  ServerStandin,
  testHost,
  testPorts,
  waitUntil,
} from '@verbenabeam/platform/fakes';
import type {TestPorts} from '@verbenabeam/platform/fakes';
import {Agent} from 'undici';
import type {LogSwitch, LogUsage} from './log-host.js';

const program = fileURLToPath(new URL('log-host.js', import.meta.url));
const folder = 'tmp/bench-log';
const service = 'shop';
const heartbeatMs = 300;
/** A third of the calls finds no slot: two nodes serve 200 of 300 a second. */
const slots = 2;
const workMs = 20;
const readyWithinMs = 10_000;
const settleMs = 1_000;
const callTimeMs = 500;

/** Two hosted nodes in one process, with stand-ins and callers in this one. @internal */
export class LogFleet {
  readonly #store = new KvStandin();
  readonly #servers: ServerStandin[] = [];
  readonly #ports: TestPorts[] = [];
  readonly #agent = new Agent();
  #host: ChildProcess | null = null;
  #calls = 0;

  async start(nodes: number): Promise<void> {
    mkdirSync(folder, {recursive: true});
    await this.#store.start();
    const paths: string[] = [];
    for (let i = 0; i < nodes; i++) {
      const server = new ServerStandin(`i-${i}`, service, 'v1', slots);
      server.faults.workMs = workMs;
      await server.start();
      const ports = await testPorts();
      const path = `${folder}/node-${i}.toml`;
      const {address} = this.#store;
      writeFileSync(path, bootText(`node-${i}`, server, ports, address));
      this.#servers.push(server);
      this.#ports.push(ports);
      paths.push(path);
    }
    const rules = [{prefix: '/', service}];
    this.#store.put(configKey, configText(1, rules, [service]));
    const stdio = ['ignore', 'ignore', 'inherit', 'ipc'] as const;
    this.#host = fork(program, paths, {stdio: [...stdio]});
    await once(this.#host, 'message');
    for (const [i, server] of this.#servers.entries()) {
      server.beatTo(this.#ports[i]?.control ?? '', heartbeatMs);
    }
    for (const {ready} of this.#ports) {
      await waitUntil(() => isReady(ready), readyWithinMs, 'node ready');
    }
    await sleep(settleMs);
  }

  /** Switches the log and tells the usage until now. */
  async switchLog(log: boolean): Promise<LogUsage> {
    const host = this.#host;
    if (!host) throw new Error('the nodes are not started');
    const request: LogSwitch = {log};
    const answer = once(host, 'message');
    host.send(request);
    const [usage] = (await answer) as [LogUsage];
    return usage;
  }

  /** Sends one call to a node in turn; its outcome does not matter. */
  send(): void {
    const id = ++this.#calls;
    const {callers = ''} = this.#ports[id % this.#ports.length] ?? {};
    this.#agent.dispatch(
      {
        origin: `http://${callers}`,
        path: `/${id}`,
        method: 'GET',
        headers: {
          host: testHost,
          'request-id': id.toString(16).padStart(16, '0'),
          'deadline-ms': String(callTimeMs),
        },
      },
      {
        onRequestStart: () => undefined,
        onResponseStart: () => undefined,
        onResponseData: () => undefined,
        onResponseEnd: () => undefined,
        onResponseError: () => undefined,
      },
    );
  }

  async end(): Promise<void> {
    this.#host?.disconnect();
    for (const server of this.#servers) server.stop();
    this.#store.stop();
    await this.#agent.destroy();
  }
}

async function isReady(address: string): Promise<boolean> {
  const res = await fetch(`http://${address}/ready`).catch(() => null);
  return res?.status === 200;
}
