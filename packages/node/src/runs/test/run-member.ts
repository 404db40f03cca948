import path from 'node:path';
import {Invariants} from '@verbenabeam/core';
import {startUpstream} from '@verbenabeam/app-upstream-standin';
import type {UpstreamStandin} from '@verbenabeam/app-upstream-standin';
import {MeshNode} from '../../mesh-node.js';
import {nodeSettingsSchema} from '../../settings/node-settings.js';
import type {RunWorld} from './run-world.js';

const nodeKey = 'random-run-node-key-0123456789';
/** Token of the operators of every run. */
export const operatorToken = 'random-run-operator-token-0123456789';
const anyPort = '127.0.0.1:0';
/** Longer than the bound of P8, so that later work would be seen. */
const lingerMs = 3_800;
const announceEveryMs = 250;

/** One place of a run: a node at fixed addresses with its upstream. */
export class RunMember {
  state: 'down' | 'up' | 'stopping' = 'down';
  leaving = false;
  starting = false;
  upstream: UpstreamStandin | null = null;
  addresses = {callers: anyPort, wire: anyPort, admin: anyPort};
  /** Highest version that callers of this node process have seen. */
  seenVersion = 0;
  /** Calendar times of the last start and of the last begin of an end. */
  upAt = 0;
  endAt = 0;
  #node: MeshNode | null = null;
  #starts = 0;
  #held = 0;

  constructor(
    readonly name: string,
    readonly version: string,
    readonly world: RunWorld,
  ) {}

  /** The running node. */
  get node(): MeshNode {
    if (!this.#node) throw new Error(`${this.name} has not been started`);
    return this.#node;
  }

  async start(seeds: readonly string[]): Promise<void> {
    this.starting = true;
    this.#starts++;
    const id = `${this.name}-${this.#starts}`;
    const file = nodeSettingsSchema.parse({
      node: {
        id,
        environment: 'production',
        data_centre: `dc-${Number(this.name.slice(1)) % 2}`,
        region: 'r1',
      },
      listen: this.addresses,
      // The run repeats in seconds what takes minutes, store calls among it.
      store: {endpoints: [this.world.store.url], calls_per_second: 400},
      seeds: {addresses: seeds},
      access: {node_key: nodeKey, operator_token: operatorToken},
    });
    const invariants = new Invariants(false);
    invariants.onBroken((code, details) => {
      const text = `${code.code} ${code.text} ${JSON.stringify(details)}`;
      this.world.violations.add(`${id}: ${text}`);
    });
    const settings = {...file, nodeKey, operatorToken};
    const started = await MeshNode.start(settings, invariants);
    if (started.isErr) throw started.error;
    this.#node = started.value;
    const {callers, wire, admin} = started.value.addresses();
    this.addresses = {callers, wire, admin};
    this.seenVersion = 0;
    this.#held = 0;
    this.upAt = Date.now();
    this.state = 'up';
    await this.startUpstream();
    this.starting = false;
  }

  async startUpstream(): Promise<void> {
    const {world, name} = this;
    const upstream = await startUpstream({
      service: 'mesh',
      version: this.version,
      node: `http://${this.addresses.admin}`,
      announceEveryMs,
      lingerMs,
      runLog: path.join(world.folder, `${name}-${++world.upstreams}.ndjson`),
      onCrash: () => {
        world.cause();
        world.crashed.add(upstream);
      },
    });
    this.upstream = upstream;
  }

  /** Planned stop; nothing in flight may be cut. */
  async stop(drainMs: number): Promise<void> {
    this.state = 'stopping';
    this.endAt = Date.now();
    const drained = this.node.parts.drain(0);
    await this.world.sleep(drainMs);
    await drained;
    await this.node.stop();
    this.#crashQuietly(this.upstream);
    this.state = 'down';
  }

  /** The machine fails: node and upstream end at once. */
  kill(): void {
    this.state = 'down';
    this.endAt = Date.now();
    this.upstream?.crash();
    this.world.cause();
    this.world.background(`kill ${this.name}`, this.node.abort());
  }

  /** The upstream announces that it leaves; later another one replaces it. */
  async replaceUpstream(): Promise<void> {
    this.leaving = true;
    const {upstream} = this;
    // The stand-in waits for connections that never carried a request, too.
    await Promise.race([upstream?.stop(), this.world.sleep(lingerMs + 3_500)]);
    const crashed = upstream !== null && this.world.crashed.has(upstream);
    if (upstream?.inFlight && !crashed) {
      this.world.violations.add(`${this.name}: a call never ended`);
    }
    this.#crashQuietly(upstream);
    this.leaving = false;
    if (this.state === 'up' && this.upstream === upstream) {
      await this.startUpstream();
    }
  }

  /** Ends the node without a check, at the end of a run. */
  async close(): Promise<void> {
    this.upstream?.crash();
    await this.#node?.abort();
  }

  /** Notes a fall of the version that the node itself reports. */
  sampleVersion(): void {
    if (this.state === 'down') return;
    const {version} = this.node.parts.distribution.tracker.digest;
    if (version < this.#held) {
      this.world.violations.add(
        `${this.name} went from version ${this.#held} to ${version}`,
      );
    }
    this.#held = version;
  }

  #crashQuietly(upstream: UpstreamStandin | null): void {
    const causes = this.world.causes.length;
    upstream?.crash();
    this.world.causes.length = causes;
  }
}
