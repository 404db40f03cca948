import path from 'node:path';
import {Invariants} from '@verbenabeam/core';
import {startUpstream} from '@verbenabeam/app-upstream-standin';
import type {UpstreamStandin} from '@verbenabeam/app-upstream-standin';
import {MeshNode} from '../../mesh-node.js';
import {nodeSettingsSchema} from '../../settings/node-settings.js';
import type {TestMesh} from './test-mesh.js';

const nodeKey = 'random-run-node-key-0123456789';
/** Operator token of the nodes in the test mesh. */
export const operatorToken = 'random-run-operator-token-0123456789';
const anyPort = '127.0.0.1:0';
/**
 * Time for which a leaving upstream still accepts calls, in ms. Longer than the
 * 3,000 ms after which guarantee P8 forbids new calls at a leaving upstream, so
 * that a call after that limit is recorded.
 */
const lingerMs = 3_800;
const announceEveryMs = 250;

/** A node at fixed addresses with its upstream; both can be restarted. */
export class TestInstance {
  state: 'down' | 'up' | 'stopping' = 'down';
  upstreamLeaving = false;
  starting = false;
  /** Longest wait of a planned stop for calls in flight, in ms; 0 for no limit. */
  stopWaitMs = 0;
  upstream: UpstreamStandin | null = null;
  addresses = {callers: anyPort, wire: anyPort, admin: anyPort};
  /** Highest configuration version in the responses of the running node. */
  seenVersion = 0;
  /** Wall-clock times of the last start and of the last stop or kill. */
  startedAt = 0;
  stopBeganAt = 0;
  #node: MeshNode | null = null;
  #starts = 0;
  #lastVersion = 0;

  constructor(
    readonly name: string,
    readonly version: string,
    readonly mesh: TestMesh,
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
      // A test run does in seconds what takes minutes in production, so its rate
      // of store calls is higher.
      store: {endpoints: [this.mesh.store.url], calls_per_second: 400},
      seeds: {addresses: seeds},
      access: {node_key: nodeKey, operator_token: operatorToken},
    });
    const invariants = new Invariants(false);
    invariants.onBroken((code, details) => {
      const text = `${code.code} ${code.text} ${JSON.stringify(details)}`;
      this.mesh.violations.add(`${id}: ${text}`);
    });
    const limits = {...file.limits, stop_wait: this.stopWaitMs};
    const settings = {...file, limits, nodeKey, operatorToken};
    const started = await MeshNode.start(settings, invariants);
    if (started.isErr) throw started.error;
    this.#node = started.value;
    const {callers, wire, admin} = started.value.addresses();
    this.addresses = {callers, wire, admin};
    this.seenVersion = 0;
    this.#lastVersion = 0;
    this.startedAt = Date.now();
    this.state = 'up';
    await this.startUpstream();
    this.starting = false;
  }

  async startUpstream(): Promise<void> {
    const {mesh, name} = this;
    const upstream = await startUpstream({
      service: 'mesh',
      version: this.version,
      node: `http://${this.addresses.admin}`,
      announceEveryMs,
      lingerMs,
      runLog: path.join(
        mesh.folder,
        `${name}-${++mesh.startedUpstreams}.ndjson`,
      ),
      onCrash: () => {
        mesh.recordDisruption();
        mesh.crashed.add(upstream);
      },
    });
    this.upstream = upstream;
  }

  /** Planned stop, which must not interrupt calls in flight. */
  async stop(drainMs: number): Promise<void> {
    this.state = 'stopping';
    this.stopBeganAt = Date.now();
    // 0 means no limit on the wait.
    const drained = this.node.parts.drain(0);
    await this.mesh.sleep(drainMs);
    await drained;
    await this.node.stop();
    this.#crashUnrecorded(this.upstream);
    this.state = 'down';
  }

  /** Simulates a machine failure: node and upstream stop at once. */
  kill(): void {
    this.state = 'down';
    this.stopBeganAt = Date.now();
    this.upstream?.crash();
    this.mesh.recordDisruption();
    this.mesh.runInBackground(`kill ${this.name}`, this.node.abort());
  }

  /** Announces that the upstream leaves, stops it and starts another one. */
  async replaceUpstream(): Promise<void> {
    this.upstreamLeaving = true;
    const {upstream} = this;
    // The upstream also waits for connections on which no request was ever sent.
    await Promise.race([upstream?.stop(), this.mesh.sleep(lingerMs + 3_500)]);
    const crashed = upstream !== null && this.mesh.crashed.has(upstream);
    if (upstream?.inFlight && !crashed) {
      this.mesh.violations.add(
        `${this.name}: a call of the leaving upstream never ended`,
      );
    }
    this.#crashUnrecorded(upstream);
    this.upstreamLeaving = false;
    if (this.state === 'up' && this.upstream === upstream) {
      await this.startUpstream();
    }
  }

  /** Aborts node and upstream without checks, at the end of a test run. */
  async close(): Promise<void> {
    this.upstream?.crash();
    await this.#node?.abort();
  }

  /**
   * Reports a violation if the active configuration version of the node is lower
   * than at the last check.
   */
  checkVersion(): void {
    if (this.state === 'down') return;
    const {version} = this.node.parts.distribution.tracker.digest;
    if (version < this.#lastVersion) {
      this.mesh.violations.add(
        `${this.name}: configuration version decreased from ${this.#lastVersion} to ${version}`,
      );
    }
    this.#lastVersion = version;
  }

  /** Ends the upstream at once without recording a disruption, because this end is planned. */
  #crashUnrecorded(upstream: UpstreamStandin | null): void {
    const count = this.mesh.disruptions.length;
    upstream?.crash();
    this.mesh.disruptions.length = count;
  }
}
