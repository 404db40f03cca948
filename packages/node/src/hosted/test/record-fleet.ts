import {setTimeout as sleep} from 'node:timers/promises';
import {
  Invariants,
  MeshError,
  seededRandom,
  systemClock,
  WIRE_CODES,
} from '@verbenabeam/core';
import type {RandomSource} from '@verbenabeam/core';
import {Result} from 'true-myth';
import type {OperatorFormat} from '../operator-documents.js';
import {OperatorRecords} from '../operator-records.js';
import {PeerRecordExchange} from '../peer-record-exchange.js';
import type {PeerRecordExchangeOptions} from '../peer-record-exchange.js';
import {RecordProgress} from '../record-progress.js';

type RequestHandler = (body: unknown) => Result<unknown, MeshError>;
type NoticeHandler = (body: unknown, peer: {nodeId: string}) => void;
type ConfigListener = (
  peer: {nodeId: string},
  config: {version: number},
) => void;

/** One-way latency between nodes, in ms. */
const localLatencyMs = 0.5;
const remoteLatencyMs = 1.5;
/** Transfer time of the records over a link, in ms. */
const transferMs = 20;
/** Longest delay until a watcher receives a new revision, in ms. */
const watchMs = 60;
/** Interval at which each node learns the revision of one other node, in ms. */
const probeMs = 300;

const format = {
  parse: () => Result.ok(null),
} as unknown as OperatorFormat;

/** A node of the fleet. */
export interface FleetNode {
  readonly nodeId: string;
  readonly dataCentre: string;
  readonly watches: boolean;
  readonly records: OperatorRecords;
  /** Time at which the node first held a revision. */
  readonly heldAt: Map<number, number>;
}

interface Member extends FleetNode {
  readonly exchange: PeerRecordExchange;
  readonly knownRevisions: Map<string, number>;
  onPull: RequestHandler;
  onNotice: NoticeHandler;
  onConfig: ConfigListener;
}

/** Fleet of nodes that exchange records over simulated links. */
export class RecordFleet {
  /** Answered pulls within a data centre and across data centres. */
  readonly transfers = {local: 0, remote: 0};
  /** Nodes to which each node has announced a change. */
  readonly announcedTo = new Map<string, Set<string>>();
  readonly #members = new Map<string, Member>();
  readonly #random: RandomSource;
  readonly #end = new AbortController();

  constructor(seed: number) {
    this.#random = seededRandom(seed);
  }

  get nodes(): readonly FleetNode[] {
    return [...this.#members.values()];
  }

  add(dataCentre: string, watches: boolean): void {
    const nodeId = `${dataCentre}-${this.#members.size}`;
    const heldAt = new Map<number, number>();
    const records = new OperatorRecords(format, new Invariants(), {
      onConfig: () => undefined,
      onOrder: () => undefined,
      onRevision: revision => {
        heldAt.set(revision, performance.now());
      },
    });
    const member: Member = {
      nodeId,
      dataCentre,
      watches,
      records,
      heldAt,
      knownRevisions: new Map(),
      exchange: new PeerRecordExchange(
        this.#options(() => member, records, dataCentre, nodeId, watches),
      ),
      onPull: () => Result.ok([]),
      onNotice: () => undefined,
      onConfig: () => undefined,
    };
    this.#members.set(nodeId, member);
    member.exchange.start();
  }

  /** Starts the probes of all nodes. */
  start(): void {
    for (const member of this.#members.values()) void this.#probe(member);
  }

  stop(): void {
    this.#end.abort();
  }

  /** Delivers a new revision of the store to the watchers. */
  write(revision: number): void {
    const value = Buffer.from(`text ${revision}`);
    for (const member of this.#members.values()) {
      if (!member.watches) continue;
      setTimeout(() => {
        const isNew = member.records.offer([{key: 'config', revision, value}]);
        if (isNew) member.exchange.announce();
      }, this.#random.float() * watchMs);
    }
  }

  async #probe(member: Member): Promise<void> {
    const {signal} = this.#end;
    await sleep(this.#random.float() * probeMs);
    while (!signal.aborted) {
      const other = this.#random.pick([...this.#members.values()]);
      const revision = other.records.revision;
      member.knownRevisions.set(other.nodeId, revision);
      if (other !== member) member.onConfig(other, {version: revision});
      await sleep(probeMs);
    }
  }

  #latencyMs(from: Member, to: Member): number {
    return from.dataCentre === to.dataCentre ? localLatencyMs : remoteLatencyMs;
  }

  #live(member: Member) {
    return this.nodes.map(({nodeId, dataCentre}) => ({
      nodeId,
      dataCentre,
      address: nodeId,
      configVersion: member.knownRevisions.get(nodeId) ?? 0,
    }));
  }

  async #request(from: Member, address: string, body: unknown) {
    const to = this.#members.get(address);
    if (!to) {
      return Result.err(
        new MeshError(
          WIRE_CODES.unreachable,
          'No node of the fleet has this address.',
        ),
      );
    }
    await sleep(this.#latencyMs(from, to));
    const answer = to.onPull(body);
    await sleep(this.#latencyMs(from, to) + transferMs);
    if (from.dataCentre === to.dataCentre) this.transfers.local++;
    else this.transfers.remote++;
    return answer;
  }

  #notify(from: Member, address: string, body: unknown): void {
    const to = this.#members.get(address);
    if (!to) return;
    const receivers = this.announcedTo.get(from.nodeId) ?? new Set<string>();
    this.announcedTo.set(from.nodeId, receivers.add(to.nodeId));
    setTimeout(() => to.onNotice(body, from), this.#latencyMs(from, to));
  }

  #options(
    self: () => Member,
    records: OperatorRecords,
    dataCentre: string,
    nodeId: string,
    watches: boolean,
  ): PeerRecordExchangeOptions {
    return {
      bus: {
        onRequest: (_kind: string, handler: RequestHandler) => {
          self().onPull = handler;
        },
        onNotice: (_kind: string, handler: NoticeHandler) => {
          self().onNotice = handler;
        },
        notify: (address: string, _kind: string, body: unknown) =>
          this.#notify(self(), address, body),
        request: (address: string, _kind: string, body: unknown) =>
          this.#request(self(), address, body),
      },
      membership: {
        own: {nodeId, dataCentre},
        live: () => this.#live(self()),
        addressOf: (id: string) => id,
        gossip: {
          onPeerConfig: (listener: ConfigListener) => {
            self().onConfig = listener;
          },
          setConfig: () => undefined,
        },
      },
      records,
      random: this.#random,
      signal: this.#end.signal,
      progress: new RecordProgress(systemClock),
      isWatching: () => watches,
      onUnavailable: () => undefined,
    } as unknown as PeerRecordExchangeOptions;
  }
}
