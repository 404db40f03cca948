import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {Invariants, systemClock} from '@verbenabeam/core';
import type {RandomSource} from '@verbenabeam/core';
import {findRoute} from '@verbenabeam/document';
import type {Snapshot} from '@verbenabeam/document';
import {UPSTREAM_STATES} from '@verbenabeam/membership';
import {
  AdaptiveThrottle,
  RetryBudget,
  RetryAllowances,
  SlotQueue,
} from '@verbenabeam/routing';
import {TcpPeerBus} from '@verbenabeam/wire';
import {
  CALL_STREAM,
  CallScheduler,
  CallWaits,
  DataPath,
  EventLoopMonitor,
} from '../calls/index.js';
import type {CallProtocol, ServingHandler} from '../calls/index.js';
import {InstanceAdapter} from '../entry/instance-adapter.js';
import {CallerServer} from '../hosted/caller-server.js';
import {noClaims} from '../hosted/no-claims.js';
import {AdmissionAdapter} from '../serving/admission-adapter.js';
import {WarmUpMembers, warmUpSlots} from './warm-up-members.js';
import {warmUpService, warmUpVersion} from './warm-up-document.js';

const nodeKey = Buffer.from('warm-up');
/** Longer than a warm-up. */
const keepAliveMs = 30_000;
/** Far above the connections of a warm-up. */
const maxDescriptors = 4_096;

/** Options of {@link WarmUpNode}. @internal */
export interface WarmUpNodeOptions {
  readonly nodeId: string;
  readonly protocol: CallProtocol;
  /** Configuration with the routes of the calls. */
  readonly snapshot: Snapshot;
  readonly random: RandomSource;
  /** `ip:port` of the upstream. */
  readonly upstreamAddress: string;
}

/**
 * The data path of a node on loopback ports, without shared state with the real
 * node.
 *
 * @internal
 */
export class WarmUpNode {
  readonly nodeId: string;
  readonly #bus: TcpPeerBus;
  readonly #serving: ServingHandler;
  readonly #callers: CallerServer;
  readonly #closing = new AbortController();
  readonly #members: WarmUpMembers;
  #wireAddress = '';
  #calls = 0;

  constructor({
    nodeId,
    protocol,
    snapshot,
    random,
    upstreamAddress,
  }: WarmUpNodeOptions) {
    this.nodeId = nodeId;
    this.#members = new WarmUpMembers(nodeId);
    this.#bus = new TcpPeerBus({nodeId, nodeKey});
    const own = {
      service: warmUpService,
      version: warmUpVersion,
      state: UPSTREAM_STATES.ready,
      address: upstreamAddress,
      id: nodeId,
    };
    const versions = {
      choose: () => ({version: warmUpVersion, moveId: null}),
      onSent: () => undefined,
      isStopped: () => false,
    };
    const loop = new EventLoopMonitor(() => systemClock.now());
    loop.start(this.#closing.signal);
    const {serving, entry} = new DataPath({
      config: {
        current: () => snapshot,
        match: (current, query) => findRoute(current, query),
      },
      versions,
      stopped: versions,
      instances: new InstanceAdapter({
        membership: this.#members,
        clock: systemClock,
        random,
      }),
      retries: new RetryBudget({burst: Infinity}),
      ledger: new RetryAllowances(),
      claims: noClaims,
      bus: this.#bus,
      upstream: {current: () => ({...own}), markDown: () => undefined},
      admission: new AdmissionAdapter({
        clock: systemClock,
        admission: new SlotQueue({slots: warmUpSlots}),
        onSlotReleased: () => undefined,
      }),
      quarantine: {
        active: false,
        admit: () => null,
        crashed: () => undefined,
        ended: () => undefined,
      },
      observer: {onCall: () => this.#calls++},
      protocol,
      scheduler: new CallScheduler({loop}),
      waits: new CallWaits(),
      throttle: new AdaptiveThrottle({random}),
      random,
      invariants: new Invariants(),
    });
    this.#serving = serving;
    this.#callers = new CallerServer({
      keepAliveMs,
      maxDescriptors,
      handle: (req, res) => entry.handle(req, res),
    });
    this.#callers.server.on('connection', () => entry.onConnection());
    this.#bus.onStream(CALL_STREAM, this.#serving.onStream);
  }

  /** Number of calls that ended with this node as their entry node. */
  get calls(): number {
    return this.#calls;
  }

  /** Address for other nodes; empty before `start`. */
  get wireAddress(): string {
    return this.#wireAddress;
  }

  /** Port of the listener for callers. */
  get port(): number {
    return (this.#callers.server.address() as AddressInfo).port;
  }

  async start(): Promise<void> {
    const started = await this.#bus.start('127.0.0.1:0');
    if (started.isErr) throw started.error;
    this.#wireAddress = started.value;
    await once(this.#callers.server.listen(0, '127.0.0.1'), 'listening');
  }

  /** Sets the nodes that serve the calls. */
  setNodes(nodes: readonly WarmUpNode[]): void {
    this.#members.set(nodes);
  }

  async close(): Promise<void> {
    this.#closing.abort();
    this.#callers.server.close();
    this.#callers.server.closeAllConnections();
    await this.#bus.close();
    await this.#serving.close();
  }
}
