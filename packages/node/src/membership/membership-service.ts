import {logger} from '@verbenabeam/core';
import type {Clock, MeshError, RandomSource} from '@verbenabeam/core';
import {
  Gossip,
  NODE_STATES,
  UPSTREAM_STATES,
  UpstreamMonitor,
  decodeGossip,
  encodeGossip,
} from '@verbenabeam/membership';
import type {
  GossipAction,
  GossipOptions,
  InstanceRecord,
  UpstreamRecord,
} from '@verbenabeam/membership';
import type {Candidate} from '@verbenabeam/routing';
import type {PeerBus, PeerContext} from '@verbenabeam/wire';
import type {Result} from 'true-myth';
import {runPeriodically} from '../run-periodically.js';

const gossipKind = 'gossip';
const tickMs = 100;
const monitorTickMs = 500;
const log = logger('membership');

/** Maximum length of a wire address, in characters. */
const maxAddressLength = 64;

/** Options of {@link MembershipService}. @internal */
export interface MembershipServiceOptions {
  readonly own: InstanceRecord;
  readonly bus: PeerBus;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly signal: AbortSignal;
  readonly gossip?: GossipOptions;
  /**
   * Time without an announcement after which the local upstream counts as down.
   */
  readonly silenceMs?: number;
}

/** A node whose upstream is ready. */
interface ReadyNode {
  readonly nodeId: string;
  readonly version: string;
}

/** Runs the membership protocol and provides the known instances. @internal */
export class MembershipService {
  readonly monitor: UpstreamMonitor;
  readonly #options: MembershipServiceOptions;
  readonly #gossip: Gossip;
  /** Cache of {@link MembershipService.candidates}; cleared on each change. */
  readonly #candidates = new Map<string, readonly Candidate[]>();
  /** Ready nodes of each service with their versions; cleared on each change. */
  readonly #readyNodes = new Map<string, readonly ReadyNode[]>();
  #draining = false;

  constructor(options: MembershipServiceOptions) {
    this.#options = options;
    const {own, random, gossip, silenceMs} = options;
    this.monitor = new UpstreamMonitor(
      silenceMs === undefined ? {} : {silenceMs},
    );
    this.#gossip = new Gossip(own, random, gossip);
    this.#gossip.table.onChange(() => this.#clearCaches());
    this.monitor.onChange(record => this.#onUpstream(record));
  }

  get gossip(): Gossip {
    return this.#gossip;
  }

  get own(): InstanceRecord {
    return this.#gossip.own;
  }

  /** Members that are alive or suspect, including this node. */
  live(): readonly InstanceRecord[] {
    return this.#gossip.table.live();
  }

  /** Wire address of a node; undefined for an unknown node. */
  addressOf(nodeId: string): string | undefined {
    return this.#gossip.table.get(nodeId)?.address;
  }

  /** Starts the protocol with the given seeds. */
  start(seeds: readonly string[]): void {
    const {bus, clock, signal} = this.#options;
    bus.onNotice(gossipKind, (body, peer) => this.#receive(body, peer));
    this.#send(this.#gossip.start(seeds, clock.now()));
    runPeriodically(tickMs, signal, () =>
      this.#send(this.#gossip.tick(clock.now())),
    );
    runPeriodically(monitorTickMs, signal, () =>
      this.monitor.tick(clock.now()),
    );
  }

  /** Joins the mesh again through other seeds. */
  rejoin(seeds: readonly string[]): void {
    const {clock} = this.#options;
    this.#send(this.#gossip.rejoin(seeds, clock.now()));
  }

  /** Handles an announcement of the local upstream. Error: 1501. */
  announce(body: unknown): Result<UpstreamRecord, MeshError> {
    const {clock} = this.#options;
    return this.monitor.announce(body, clock.now(), clock.wallTime());
  }

  setRelay(relay: boolean): void {
    if (relay === this.own.relay) return;
    log('Relay role changed.', {relay});
    this.#send(this.#gossip.setRelay(relay, this.#options.clock.now()));
  }

  /** Publishes the local upstream as draining, whatever state it announces. */
  drain(): void {
    this.#draining = true;
    const {upstream} = this.own;
    if (upstream) this.#onUpstream(upstream);
  }

  /** Tells the peers that this node leaves the mesh. */
  leave(): void {
    this.#send(this.#gossip.leave(this.#options.clock.now()));
  }

  /**
   * Ready instances of an upstream version in the environment of this node.
   *
   * @param region - Only instances of this region; default is all regions.
   */
  candidates(
    service: string,
    version: string,
    region?: string,
  ): readonly Candidate[] {
    const key = `${service}\n${version}\n${region ?? ''}`;
    const known = this.#candidates.get(key);
    if (known) return known;
    const found = this.live()
      .filter(row => this.#serves(row, service, version))
      .filter(row => region === undefined || row.region === region)
      .map(row => this.#toCandidate(row));
    this.#candidates.set(key, found);
    return found;
  }

  /**
   * Number of ready instances per version of a service, without the excluded
   * nodes.
   */
  versions(
    service: string,
    exclude: ReadonlySet<string>,
  ): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const {nodeId, version} of this.#readyNodesOf(service)) {
      if (exclude.has(nodeId)) continue;
      counts.set(version, (counts.get(version) ?? 0) + 1);
    }
    return counts;
  }

  #readyNodesOf(service: string): readonly ReadyNode[] {
    const known = this.#readyNodes.get(service);
    if (known) return known;
    const found: ReadyNode[] = [];
    for (const {nodeId, upstream} of this.live()) {
      const isReady =
        upstream?.service === service &&
        upstream.state === UPSTREAM_STATES.ready;
      if (isReady) found.push({nodeId, version: upstream.version});
    }
    this.#readyNodes.set(service, found);
    return found;
  }

  #clearCaches(): void {
    this.#candidates.clear();
    this.#readyNodes.clear();
  }

  #serves(row: InstanceRecord, service: string, version: string): boolean {
    const {upstream} = row;
    return (
      row.environment === this.own.environment &&
      upstream?.service === service &&
      upstream.version === version &&
      upstream.state === UPSTREAM_STATES.ready
    );
  }

  #toCandidate(row: InstanceRecord): Candidate {
    const {clock} = this.#options;
    const ageMs = clock.wallTime() - (row.upstream?.readySince ?? 0);
    return {
      nodeId: row.nodeId,
      dataCentre: row.dataCentre,
      slots: row.upstream?.slots ?? 1,
      readySince: clock.now() - ageMs,
    };
  }

  #onUpstream(announced: UpstreamRecord): void {
    const draining = UPSTREAM_STATES.draining;
    const record = this.#draining ? {...announced, state: draining} : announced;
    const {service, version, state} = record;
    log('Upstream changed.', {service, version, state});
    this.#clearCaches();
    const {clock} = this.#options;
    this.#send(this.#gossip.setUpstream(record, clock.now()));
  }

  #receive(body: unknown, peer: PeerContext): void {
    // The sender address, to which replies are sent, and the encoded message.
    const [from, packed] = Array.isArray(body) ? (body as unknown[]) : [];
    const isAddress =
      typeof from === 'string' && from.length <= maxAddressLength;
    const message = decodeGossip(packed);
    if (!isAddress || !message) {
      log('Malformed gossip message dropped.');
      return;
    }
    const {clock} = this.#options;
    const actions = this.#gossip.receive(from, message, clock.now());
    const isReply = ({to}: GossipAction) => to === from;
    this.#reply(actions.filter(isReply), peer);
    this.#send(actions.filter(action => !isReply(action)));
  }

  /**
   * Replies on the connection of the incoming message. In a large mesh nearly
   * every probe opens a new connection, and a reply through the connection pool
   * would open a second one.
   */
  #reply(actions: readonly GossipAction[], peer: PeerContext): void {
    const {address} = this.own;
    const unsent = actions.filter(
      ({message}) => !peer.notify(gossipKind, [address, encodeGossip(message)]),
    );
    this.#send(unsent);
  }

  #send(actions: readonly GossipAction[]): void {
    const {bus} = this.#options;
    for (const {to, message} of actions) {
      bus.notify(to, gossipKind, [this.own.address, encodeGossip(message)]);
    }
  }
}

/** Number of members by state. @internal */
export function countByState(
  records: readonly InstanceRecord[],
): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const state of Object.values(NODE_STATES)) counts[state] = 0;
  for (const {state} of records) counts[state] = (counts[state] ?? 0) + 1;
  return counts;
}
