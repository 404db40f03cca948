import {setTimeout as sleep} from 'node:timers/promises';
import type {NodeAddresses} from '@verbenabeam/node';
import {Pool, request} from 'undici';
import {serviceName} from './document-text.js';
import type {Activation, NodeUsage} from './host-commands.js';
import {Host} from './host.js';
import {startProgram} from './program.js';
import type {Program} from './program.js';

const operatorToken = 'bench-operator-token-0123456789';
const announceMs = 1_000;
const settleTimeoutMs = 40_000;
const pollMs = 100;
const slots = 500;

/** Options of {@link Fleet.start}. @internal */
export interface FleetOptions {
  readonly nodes: number;
  /** Nodes in one process. Default 10. */
  readonly perProcess?: number;
  /** Default 2. */
  readonly dataCentres?: number;
  /** Services that the upstreams announce in turn. Default 3. */
  readonly services?: number;
}

/** A node of the fleet and the process that runs it. @internal */
export interface FleetNode {
  readonly id: string;
  readonly dataCentre: string;
  readonly service: string;
  readonly host: Host;
  addresses: NodeAddresses;
  readonly announcer: Pool;
}

/** Calls that the store stand-in has taken. @internal */
export interface StoreCounts {
  readonly total: number;
  readonly writes: number;
  readonly rejected: number;
}

/** Nodes on loopback with one store and one upstream program. @internal */
export class Fleet {
  readonly nodes: FleetNode[] = [];
  readonly hosts: Host[] = [];
  readonly upstream: string;
  readonly #options: FleetOptions;
  readonly #programs: readonly Program[];
  readonly #store: string;
  readonly #timer: NodeJS.Timeout;

  private constructor(options: FleetOptions, programs: readonly Program[]) {
    this.#options = options;
    this.#programs = programs;
    const [store, upstream] = programs;
    this.#store = store?.info['url'] ?? '';
    this.upstream = upstream?.info['address'] ?? '';
    this.#timer = setInterval(() => this.#announceAll(), announceMs);
  }

  /** Starts the fleet and waits until every node knows every other one. */
  static async start(options: FleetOptions): Promise<Fleet> {
    const store = ['apps/store-standin/dist/main.js', '--port', '0'];
    const upstream = ['apps/upstream-standin/dist/main.js'];
    upstream.push('--slots', String(slots), '--queue-limit', String(slots));
    const programs = await Promise.all([store, upstream].map(startProgram));
    const fleet = new Fleet(options, programs);
    const {nodes, perProcess = 10} = options;
    for (let first = 0; first < nodes; first += perProcess) {
      const host = fleet.addHost();
      const count = Math.min(perProcess, nodes - first);
      for (let i = first; i < first + count; i++) await fleet.addNode(i, host);
    }
    await fleet.settled();
    return fleet;
  }

  addHost(): Host {
    const host = new Host();
    this.hosts.push(host);
    return host;
  }

  /** Starts a node in a process and announces its upstream. */
  async addNode(index: number, host: Host): Promise<FleetNode> {
    const {dataCentres = 2, services = 3} = this.#options;
    const id = `node-${index}-${Date.now()}`;
    const dataCentre = `dc-${index % dataCentres}`;
    const seeds = this.nodes.slice(0, 3).map(node => node.addresses.wire);
    const spec = {id, dataCentre, store: this.#store, seeds};
    const [addresses] = await host.run('start', [spec]);
    if (!addresses) throw new Error(`node ${id} did not start`);
    const announcer = new Pool(`http://${addresses.admin}`, {connections: 1});
    const service = serviceName(index % services);
    const node = {id, dataCentre, service, host, addresses, announcer};
    this.nodes.push(node);
    await this.#announce(node);
    return node;
  }

  /** Stops nodes as a planned stop does. */
  async removeNodes(removed: readonly FleetNode[]): Promise<void> {
    for (const node of removed) this.nodes.splice(this.nodes.indexOf(node), 1);
    const stops = removed.map(({host, id}) => host.run('stop', [id]));
    await Promise.all(stops);
    await Promise.all(removed.map(({announcer}) => announcer.destroy()));
  }

  /** Waits until every node counts all nodes as alive and ready. */
  async settled(): Promise<void> {
    const endAt = Date.now() + settleTimeoutMs;
    const size = this.nodes.length;
    for (;;) {
      const members = await this.#fromAll('members');
      const ready = await this.#fromAll('candidates');
      if ([...members, ...ready].every(count => count === size)) return;
      if (Date.now() > endAt) {
        throw new Error(`${size} nodes do not agree: ${members.join(' ')}`);
      }
      await sleep(pollMs);
    }
  }

  /** Submits a document to a node; returns the version and its time. */
  async submit(text: string, index = 0) {
    const admin = this.nodes[index % this.nodes.length]?.addresses.admin;
    const url = `http://${admin}/v1/environments/production/submit`;
    const res = await request(url, {
      method: 'POST',
      headers: {
        'content-type': 'application/json',
        authorization: `Bearer ${operatorToken}`,
      },
      body: JSON.stringify({document: text, author: 'bench'}),
    });
    const body = await res.body.text();
    if (res.statusCode >= 300) throw new Error(`submit: ${body}`);
    return JSON.parse(body) as {version: number; acceptedAt: number};
  }

  /** Waits until every node holds a version. */
  async awaitVersion(version: number, timeoutMs: number): Promise<Activation> {
    const wait = {version, timeoutMs};
    const all = await Promise.all(
      this.hosts.map(host => host.run('awaitVersion', wait)),
    );
    return {
      lastAt: Math.max(...all.map(({lastAt}) => lastAt)),
      missing: all.reduce((sum, {missing}) => sum + missing, 0),
    };
  }

  /** Longest block of an event loop of the fleet since the last call, in ms. */
  async longestBlock(): Promise<number> {
    const all = await Promise.all(
      this.hosts.map(host => host.run('longestBlock', null)),
    );
    return Math.max(...all);
  }

  async bytes(): Promise<NodeUsage[]> {
    const all = await Promise.all(
      this.hosts.map(host => host.run('bytes', null)),
    );
    return all.flat();
  }

  async storeCounts(): Promise<StoreCounts> {
    const url = `${this.#store}/control/counts`;
    const res = await request(url, {method: 'POST'});
    return ((await res.body.json()) as {counts: StoreCounts}).counts;
  }

  async setStoreFaults(faults: object): Promise<void> {
    const url = `${this.#store}/control/faults`;
    const body = JSON.stringify(faults);
    const res = await request(url, {method: 'POST', body});
    await res.body.dump();
  }

  /** Ends all processes of the fleet. */
  async end(): Promise<void> {
    clearInterval(this.#timer);
    await Promise.all(this.hosts.map(host => host.end()));
    await Promise.all(this.nodes.map(({announcer}) => announcer.destroy()));
    await Promise.all(this.#programs.map(program => program.stop()));
  }

  async #fromAll(name: 'members' | 'candidates'): Promise<number[]> {
    const all = await Promise.all(this.hosts.map(host => host.run(name, null)));
    return all.flat();
  }

  #announceAll(): void {
    for (const node of this.nodes) void this.#announce(node);
  }

  async #announce({announcer, service}: FleetNode): Promise<void> {
    const upstream = {service, version: 'v1', address: this.upstream};
    const body = JSON.stringify({...upstream, slots, state: 'ready'});
    const headers = {'content-type': 'application/json'};
    try {
      const res = await announcer.request({
        path: '/announce',
        method: 'POST',
        headers,
        body,
      });
      await res.body.dump();
    } catch {
      // The node is stopping; the next announcement shows whether it is gone.
    }
  }
}
