import {seededRandom} from '@verbenabeam/core';
import type {RandomSource, ResultCode} from '@verbenabeam/core';
import type {Entry} from '@verbenabeam/store';
import {STORE_KEYS} from '../store-keys.js';
import {decodeJson, decodeVersion, headRecordSchema} from '../store-records.js';
import type {HeadRecord} from '../store-records.js';
import {SimLink} from './sim-link.js';
import {SimNode} from './sim-node.js';
import type {SimProcess} from './sim-node.js';
import {SimScheduler} from './sim-scheduler.js';
import {SimStore} from './sim-store.js';

/** A version that the store committed. @internal */
export interface Commit {
  readonly version: number;
  readonly hash: string;
  readonly text: string;
  readonly operationId: string;
  /** Restores before the commit. */
  readonly restores: number;
}

/** What an operator was told. @internal */
export interface Told {
  readonly operationId: string;
  /** `accepted` or the name of the result code. */
  readonly outcome: string;
}

const environment = 'production';
const centres = ['a', 'b'] as const;
const nodesPerCentre = 5;

/** A small fleet with its store and links, and the checks on it. @internal */
export class FleetRun {
  readonly scheduler = new SimScheduler();
  readonly random: RandomSource;
  readonly store: SimStore;
  readonly link: SimLink;
  readonly nodes: readonly SimNode[];
  readonly commits: Commit[] = [];
  readonly told: Told[] = [];
  /** Faults that the checks found. */
  readonly faults: string[] = [];
  #operations = 0;

  constructor(seed: number) {
    this.random = seededRandom(seed);
    const {scheduler, random} = this;
    this.store = new SimStore(scheduler, random, (puts, restores) =>
      this.#record(puts, restores),
    );
    this.link = new SimLink(scheduler, random);
    const world = {
      environment,
      scheduler,
      random,
      store: this.store,
      link: this.link,
      nodes: () => this.nodes,
      onBroken: (code: ResultCode) => this.#fault(`invariant ${code.code}`),
    };
    this.nodes = centres.flatMap(centre =>
      Array.from(
        {length: nodesPerCentre},
        (_, i) => new SimNode(world, `${centre}${i}`, centre),
      ),
    );
  }

  /** Node by number; any number names one. */
  node(index: number): SimNode {
    return this.nodes[index % this.nodes.length] as SimNode;
  }

  async advance(ms: number): Promise<void> {
    await this.scheduler.advance(ms, () => this.#observe());
  }

  /** Submits in the background; the outcome is noted when it is known. */
  submit(index: number, text: string): void {
    const {process, nodeId} = this.node(index);
    const operationId = this.#nextOperation();
    const submission = {environment, text, author: nodeId, operationId};
    void this.#tell(
      process,
      operationId,
      process.acceptance.submit(submission),
    );
  }

  /** An operator's answer to 1204 and 1205. */
  reassert(index: number): void {
    const {process, nodeId} = this.node(index);
    const active = process.tracker.current;
    if (!active) return;
    const operationId = this.#nextOperation();
    const operator = {author: nodeId, operationId};
    const call = process.acceptance.reassert(active, operator);
    void this.#tell(process, operationId, call);
  }

  /** Ends all faults. */
  heal(): void {
    this.store.setDown(false);
    this.store.lostResponses = 0;
    this.link.lossShare = 0;
    this.link.duplicateShare = 0;
    this.link.lateMs = 0;
    this.link.cut(new Set());
    for (const node of this.nodes) node.setPaused(false);
  }

  /** The store's head, or null. */
  head(): HeadRecord | null {
    const entry = this.store.peek(STORE_KEYS.head(environment));
    return entry && decodeJson(entry, headRecordSchema).unwrapOr(null);
  }

  /** Relays of a data centre by the store's slots. */
  relaySlots(): readonly number[] {
    return centres.map(
      centre =>
        [0, 1].filter(slot =>
          this.store.peek(STORE_KEYS.relay(centre, environment, slot)),
        ).length,
    );
  }

  /** Distinct active versions as version/hash. */
  active(): readonly string[] {
    const shown = this.nodes.map(({process}) => {
      const {version, hash} = process.tracker.digest;
      return `${version}/${hash}`;
    });
    return [...new Set(shown)];
  }

  /** Compares what operators were told with what the store committed. */
  checkOperators(): void {
    for (const {operationId, outcome} of this.told) {
      const commits = this.commits.filter(c => c.operationId === operationId);
      const epochs = new Set(commits.map(c => c.restores));
      if (epochs.size !== commits.length) {
        this.#fault(`operation ${operationId} was applied twice`);
      }
      if (outcome === 'accepted' && commits.length === 0) {
        this.#fault(`operation ${operationId} was not applied`);
      }
      const isUnknown = outcome === 'store.unknownOutcome';
      const isRefused = outcome !== 'accepted' && !isUnknown;
      if (isRefused && commits.length > 0 && outcome !== 'conflict') {
        this.#fault(`operation ${operationId} was applied, told ${outcome}`);
      }
    }
  }

  async #tell(
    process: SimProcess,
    operationId: string,
    call: ReturnType<SimProcess['acceptance']['submit']>,
  ): Promise<void> {
    const res = await call;
    if (res.isErr) {
      this.told.push({operationId, outcome: res.error.code.name});
      return;
    }
    const handled = process.driver.handleAccepted(res.value);
    if (handled.isErr && this.store.restores === 0) {
      this.#fault(
        `1204 without a restore at version ${res.value.metadata.version}`,
      );
    }
    const outcome = handled.isOk ? 'accepted' : 'conflict';
    this.told.push({operationId, outcome});
  }

  #nextOperation(): string {
    this.#operations++;
    return `op${this.#operations}`;
  }

  #record(puts: readonly Entry[], restores: number): void {
    const prefix = STORE_KEYS.version(environment, 0).slice(0, -1);
    const family = prefix.slice(0, prefix.lastIndexOf('/'));
    for (const entry of puts.filter(row => row.key.startsWith(family))) {
      const record = decodeVersion(entry);
      if (record.isErr) this.#fault(record.error.message);
      else {
        const {metadata, text} = record.value;
        const {version, hash, operationId} = metadata;
        this.commits.push({version, hash, text, operationId, restores});
      }
    }
  }

  /** Observes from outside what the invariants check from inside. */
  #observe(): void {
    for (const node of this.nodes) {
      const {nodeId, process} = node;
      const {current} = process.tracker;
      this.#observeServing(node);
      const version = current?.version ?? 0;
      if (version === process.observedVersion) continue;
      if (version < process.observedVersion) {
        this.#fault(
          `${nodeId} went back from ${process.observedVersion} to ${version}`,
        );
      }
      process.observedVersion = version;
      const isWhole = this.commits.some(
        c =>
          c.version === version &&
          c.hash === current?.hash &&
          c.text === current.document.text,
      );
      if (!isWhole) {
        this.#fault(`${nodeId} has a text of version ${version} not accepted`);
      }
    }
  }

  /**
   * A node that restarts while the store responds must not serve an older
   * version than its earlier processes did.
   */
  #observeServing(node: SimNode): void {
    const {process, nodeId} = node;
    const {version} = process.tracker.digest;
    if (!process.distributor.ready) return;
    const isCertain =
      this.store.restores === 0 &&
      this.store.outages !== null &&
      this.store.outages === process.outagesBefore;
    if (isCertain && version < node.servedVersion) {
      this.#fault(`${nodeId} serves ${version} after ${node.servedVersion}`);
    }
    node.servedVersion = Math.max(node.servedVersion, version);
  }

  #fault(text: string): void {
    this.faults.push(`at ${Math.round(this.scheduler.now())} ms: ${text}`);
  }
}
