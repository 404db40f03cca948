import {seededRandom} from '@verbenabeam/core';
import type {RandomSource} from '@verbenabeam/core';
import {Gossip} from '../gossip.js';
import type {GossipOptions} from '../gossip-options.js';
import type {InstanceRecord, UpstreamRecord} from '../instance-record.js';
import {isLive, MemberTable} from '../member-table.js';
import type {GossipAction, GossipMessage} from '../messages.js';

const tickMs = 100;
/** Unix time in milliseconds at simulated time 0. */
const epoch = 1_800_000_000_000;

/** A simulated node. */
export interface FakeNode {
  readonly index: number;
  readonly address: string;
  readonly gossip: Gossip;
  up: boolean;
  /** Time until which the node neither reads messages nor runs its timers. */
  pausedUntil: number;
}

/** Network faults. They can be changed during a run. */
export interface LinkFaults {
  loss: number;
  duplication: number;
  delayMs: number;
  /** True if messages from the first node to the second one are dropped. */
  blocked: (from: number, to: number) => boolean;
}

/** Options of {@link FakeCluster}. */
export interface ClusterOptions {
  readonly seed: number;
  readonly size: number;
  readonly dataCentres?: number;
  readonly gossip?: GossipOptions;
  /** Called for each message that a node sends to an address. */
  readonly onMessage?: (
    from: number,
    message: GossipMessage,
    to: string,
  ) => void;
}

/** Runs the production `Gossip` class on a simulated network and clock. */
export class FakeCluster {
  readonly rng: RandomSource;
  readonly nodes: FakeNode[] = [];
  readonly faults: LinkFaults = {
    loss: 0,
    duplication: 0,
    delayMs: 4,
    blocked: () => false,
  };
  now = 0;
  readonly #options: ClusterOptions;
  readonly #events = new Map<number, (() => void)[]>();
  #started = 0;

  constructor(options: ClusterOptions) {
    this.#options = options;
    this.rng = seededRandom(options.seed);
  }

  get live(): FakeNode[] {
    return this.nodes.filter(n => n.up);
  }

  dataCentreOf(index: number): number {
    return index % (this.#options.dataCentres ?? 3);
  }

  /** Starts all nodes. With `known`, full tables replace the join. */
  startAll(known = true): void {
    for (let i = 0; i < this.#options.size; i++) this.restart(i, !known);
    if (!known) return;
    for (const {gossip} of this.nodes) {
      for (const other of this.nodes) gossip.table.merge(other.gossip.own, 0);
    }
  }

  /** Replaces a node by a new process at the same address. */
  restart(index: number, join = true): FakeNode {
    this.kill(index);
    const record = this.#recordOf(index);
    const rng = seededRandom(this.rng.below(2 ** 31));
    const table = new MemberTable();
    const gossip = new Gossip(record, rng, this.#options.gossip, table);
    const node = {
      index,
      address: record.address,
      gossip,
      up: true,
      pausedUntil: 0,
    };
    this.nodes[index] = node;
    const seeds = join ? [0, 1, 2, 3, 4, 5].map(addressOf) : [];
    this.#send(node, gossip.start(seeds, this.now));
    this.#tick(node, this.rng.below(tickMs));
    return node;
  }

  kill(index: number): void {
    const node = this.nodes[index];
    if (node) node.up = false;
  }

  /** Pauses a process. Its messages are delivered after the pause. */
  pause(index: number, ms: number): void {
    const node = this.nodes[index];
    if (node) node.pausedUntil = this.now + ms;
  }

  setUpstream(node: FakeNode, state: UpstreamRecord['state']): void {
    const upstream = {...upstreamOf(node.index), state};
    this.#send(node, node.gossip.setUpstream(upstream, this.now));
  }

  leave(node: FakeNode): void {
    this.#send(node, node.gossip.leave(this.now));
  }

  /** Advances the clock. `each` runs once per simulated second. */
  run(ms: number, each: () => void = () => undefined): void {
    const end = this.now + ms;
    for (; this.now < end; this.now++) {
      const due = this.#events.get(this.now);
      this.#events.delete(this.now);
      for (const event of due ?? []) event();
      if (this.now % 1000 === 0) each();
    }
  }

  /** True if the table of each live node equals the actual live records. */
  agrees(): boolean {
    const digests = this.live.map(n => n.gossip.table.digest().join());
    // Comparing digests first is cheaper than comparing all records.
    if (digests.some(digest => digest !== digests[0])) return false;
    const expected = this.live
      .map(n => fingerprint(n.gossip.own))
      .sort()
      .join();
    return this.live.every(({gossip}) => {
      return gossip.table.live().map(fingerprint).sort().join() === expected;
    });
  }

  /** True if the subject's process is live in the observer's table. */
  sees(observer: FakeNode, subject: FakeNode): boolean {
    const record = observer.gossip.table.get(subject.gossip.own.nodeId);
    return record !== undefined && isLive(record);
  }

  #recordOf(index: number): InstanceRecord {
    const dataCentre = this.dataCentreOf(index);
    const serial = String(this.#started++).padStart(12, '0');
    return {
      nodeId: `6b0a7c52-93f1-4d1e-8a44-${serial}`,
      incarnation: epoch + this.now,
      sequence: 0,
      address: addressOf(index),
      dataCentre: `dc${dataCentre}`,
      region: `region${dataCentre % 2}`,
      environment: 'production',
      state: 'alive',
      upstream: upstreamOf(index),
      relay: index < 2,
      configVersion: 0,
    };
  }

  #tick(node: FakeNode, delayMs: number): void {
    this.#after(delayMs, () => {
      if (!node.up) return;
      const pauseMs = node.pausedUntil - this.now;
      if (pauseMs <= 0) this.#send(node, node.gossip.tick(this.now));
      this.#tick(node, Math.max(tickMs, pauseMs));
    });
  }

  #send(from: FakeNode, actions: GossipAction[]): void {
    for (const {to, message} of actions) {
      this.#options.onMessage?.(from.index, message, to);
      const copies = this.rng.float() < this.faults.duplication ? 2 : 1;
      for (let i = 0; i < copies; i++) this.#deliver(from, to, message);
    }
  }

  #deliver(from: FakeNode, to: string, message: GossipMessage): void {
    const index = indexOf(to);
    const {loss, delayMs, blocked} = this.faults;
    if (blocked(from.index, index) || this.rng.float() < loss) return;
    this.#after(1 + this.rng.below(delayMs), () => {
      this.#receive(from, index, message);
    });
  }

  #receive(from: FakeNode, index: number, message: GossipMessage): void {
    const node = this.nodes[index];
    if (!node?.up) return;
    const pauseMs = node.pausedUntil - this.now;
    if (pauseMs > 0) {
      // After a pause, a real process may run timers before it reads sockets.
      this.#after(pauseMs + 1, () => {
        this.#receive(from, index, message);
      });
      return;
    }
    const reply = node.gossip.receive(from.address, message, this.now);
    this.#send(node, reply);
  }

  #after(delayMs: number, event: () => void): void {
    const at = this.now + Math.max(1, delayMs);
    const due = this.#events.get(at);
    if (due) due.push(event);
    else this.#events.set(at, [event]);
  }
}

function addressOf(index: number): string {
  return `10.0.${index >> 8}.${index & 255}:7400`;
}

function indexOf(address: string): number {
  const [, , high, low] = address.split(':')[0]?.split('.').map(Number) ?? [];
  return ((high ?? 0) << 8) + (low ?? 0);
}

function upstreamOf(index: number): UpstreamRecord {
  return {
    service: `service-${index % 53}`,
    version: 'v1',
    state: 'ready',
    slots: 12,
    readySince: epoch,
  };
}

function fingerprint(record: InstanceRecord): string {
  const {nodeId, incarnation, sequence, state, upstream} = record;
  return [nodeId, incarnation, sequence, state, upstream?.state].join('/');
}
