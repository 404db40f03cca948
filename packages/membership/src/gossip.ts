import type {RandomSource} from '@verbenabeam/core';
import {Dissemination} from './dissemination.js';
import {FailureDetector} from './failure-detector.js';
import {GOSSIP_DEFAULTS} from './gossip-options.js';
import type {GossipOptions} from './gossip-options.js';
import {NODE_STATES, UPSTREAM_STATES} from './instance-record.js';
import type {InstanceRecord, UpstreamRecord} from './instance-record.js';
import {MemberTable} from './member-table.js';
import type {GossipAction, GossipMessage, GossipMessageOf} from './messages.js';
import {Outbox} from './outbox.js';
import {OwnRecord} from './own-record.js';
import {TableExchange} from './table-exchange.js';
import type {RecordKey, Update} from './update.js';

/** Called with the configuration version and hash of a peer. @public */
export type PeerConfigListener = (
  peer: {readonly nodeId: string; readonly address: string},
  config: {readonly version: number; readonly hash: string},
) => void;

type ProbeOrAck = GossipMessageOf<'probe'> | GossipMessageOf<'ack'>;

type Handlers = {
  readonly [K in GossipMessage['k']]: (
    from: string,
    message: GossipMessageOf<K>,
    now: number,
  ) => void;
};

/** Peers notified by a leaving node, which cannot resend the update later. */
const leaveFanOut = 8;

/**
 * Membership protocol of one node as a state machine without I/O. Methods
 * return the messages to send. The caller runs {@link Gossip.tick} about every
 * 100 ms and validates received messages with `gossipMessageSchema`.
 *
 * @public
 */
export class Gossip {
  readonly table: MemberTable;
  readonly #options: Required<GossipOptions>;
  readonly #own: OwnRecord;
  readonly #out = new Outbox();
  readonly #dissemination: Dissemination;
  readonly #detector: FailureDetector;
  readonly #exchange: TableExchange;
  readonly #configListeners: PeerConfigListener[] = [];
  readonly #handlers: Handlers = {
    probe: (from, message, now) => {
      this.#onProbe(from, message, now);
    },
    ack: (from, message, now) => {
      this.#onAck(from, message, now);
    },
    indirect: (from, {n, to}, now) => {
      this.#detector.probeFor(from, n, to, now);
    },
    updates: (_from, {u, urgent}, now) => {
      const {fresh} = this.#exchange.apply(u, now);
      if (urgent) this.#sendUrgent(fresh, this.#options.urgentFanOut);
    },
    join: (from, {u}, now) => {
      this.#exchange.onJoin(from, u, now);
    },
    table: (_from, message, now) => {
      this.#exchange.onTable(message, now);
    },
    busy: (_from, message, now) => {
      this.#exchange.onBusy(message, now);
    },
    digest: (from, {b}) => {
      this.#exchange.onDigest(from, b);
    },
    sums: (from, message, now) => {
      this.#exchange.onSums(from, message, now);
    },
    want: (from, {h}) => {
      this.#exchange.onWant(from, h);
    },
    diff: (from, message, now) => {
      this.#exchange.onDiff(from, message, now);
    },
  };

  /** @param own - Record of this node. Its state is set to alive. */
  constructor(
    own: InstanceRecord,
    rng: RandomSource,
    options: GossipOptions = {},
    table = new MemberTable(),
  ) {
    this.table = table;
    this.#own = new OwnRecord(own);
    this.#options = {...GOSSIP_DEFAULTS, ...options};
    this.#dissemination = new Dissemination(table, this.#own, rng);
    const context = {
      table,
      rng,
      own: this.#own,
      dissemination: this.#dissemination,
      out: this.#out,
      options: this.#options,
    };
    this.#detector = new FailureDetector(context);
    this.#exchange = new TableExchange(context);
  }

  /** Record of this node. */
  get own(): InstanceRecord {
    return this.#own.value;
  }

  /** True once a seed has served its table, or if there are no seeds. */
  get joined(): boolean {
    return this.#exchange.joined;
  }

  /** Adds a listener for the configurations that peers report. */
  onPeerConfig(listener: PeerConfigListener): void {
    this.#configListeners.push(listener);
  }

  /** Starts the protocol. This node's own address is removed from the seeds. */
  start(seeds: readonly string[], now: number): GossipAction[] {
    this.#dissemination.publishOwn(now);
    this.#detector.start(now);
    this.#exchange.start(seeds, now);
    return this.tick(now);
  }

  /** Joins again with new seeds, for example relays from the store. */
  rejoin(seeds: readonly string[], now: number): GossipAction[] {
    this.#exchange.setSeeds(seeds, now);
    return this.tick(now);
  }

  /** Runs the timers that are due. */
  tick(now: number): GossipAction[] {
    this.#detector.tick(now);
    const seed = this.#exchange.tick(now);
    if (seed !== null) this.#requestRecord(seed);
    return this.#out.flush();
  }

  /** Handles a validated message; `from` is the sender's wire address. */
  receive(from: string, message: GossipMessage, now: number): GossipAction[] {
    this.#handlers[message.k](from, message as never, now);
    return this.#out.flush();
  }

  /** Publishes a changed upstream. A change from or to ready is urgent. */
  setUpstream(upstream: UpstreamRecord | null, now: number): GossipAction[] {
    const states = [this.own.upstream?.state, upstream?.state];
    const isUrgent = states.includes(UPSTREAM_STATES.ready);
    this.#own.change({upstream});
    return this.#publish(now, isUrgent ? this.#options.urgentFanOut : 0);
  }

  /**
   * Publishes whether this node is a relay. This is urgent: until the others know,
   * more of them take up the role.
   */
  setRelay(relay: boolean, now: number): GossipAction[] {
    this.#own.change({relay});
    return this.#publish(now, this.#options.urgentFanOut);
  }

  /** Sets the configuration version and hash that probes carry. */
  setConfig(version: number, hash: string): void {
    this.#detector.config = [version, hash];
    this.#own.setConfigVersion(version);
    this.table.noteConfig(this.own.nodeId, version);
  }

  /** Marks this node as left and notifies some peers at once. */
  leave(now: number): GossipAction[] {
    this.#own.change({state: NODE_STATES.left});
    return this.#publish(now, leaveFanOut);
  }

  #publish(now: number, fanOut: number): GossipAction[] {
    this.#dissemination.publishOwn(now);
    this.#sendUrgent([this.#dissemination.ownTuple], fanOut);
    return this.#out.flush();
  }

  #sendUrgent(updates: Update[], fanOut: number): void {
    if (updates.length === 0) return;
    const {remoteShare} = this.#options;
    for (const peer of this.#dissemination.spreadPeers(fanOut, remoteShare)) {
      this.#out.send(peer.address, {k: 'updates', u: updates, urgent: true});
    }
  }

  #onProbe(from: string, probe: GossipMessageOf<'probe'>, now: number): void {
    const wanted = this.#recordRequest(probe.s);
    this.#processHeader(from, probe, now);
    const suspicion = this.#dissemination.suspicionOf(probe.s[0], probe.s);
    const probeHeader = this.#detector.probeHeader(probe.n);
    this.#out.send(from, {k: 'ack', ...probeHeader, ...suspicion, ...wanted});
  }

  #onAck(from: string, ack: GossipMessageOf<'ack'>, now: number): void {
    if (!this.#detector.handleAck(ack)) return;
    const isUnknownSender = this.table.get(ack.s[0]) === undefined;
    const wanted = this.#recordRequest(ack.s);
    this.#processHeader(from, ack, now);
    if (wanted.w) this.#requestRecord(from);
    if (isUnknownSender) this.#exchange.onUnknownSender(from, now);
  }

  #requestRecord(to: string): void {
    this.#out.send(to, {k: 'probe', ...this.#detector.probeHeader(0), w: true});
  }

  /** Processes the fields that probes and acks share. */
  #processHeader(from: string, message: ProbeOrAck, now: number): void {
    this.#exchange.apply(message.u, now);
    const [nodeId] = message.s;
    const [version, hash] = message.c;
    const address = this.table.get(nodeId)?.address ?? from;
    this.table.noteConfig(nodeId, version);
    for (const listener of this.#configListeners) {
      listener({nodeId, address}, {version, hash});
    }
    const isSuspected = message.d?.[0] === this.own.nodeId;
    if (isSuspected && message.d) this.#dissemination.refute(message.d, now);
    if (isSuspected || message.w) this.#sendOwnRecord(from);
  }

  #sendOwnRecord(to: string): void {
    const u = [this.#dissemination.ownTuple];
    this.#out.send(to, {k: 'updates', u, urgent: false});
  }

  /** Field that requests the sender's record if it is unknown or outdated. */
  #recordRequest(key: RecordKey): {w?: true} {
    return this.#dissemination.isNewer(key) ? {w: true} : {};
  }
}
