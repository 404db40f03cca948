import {once} from 'node:events';
import {createServer} from 'node:http';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {Invariants, systemClock} from '@verbenabeam/core';
import type {RandomSource} from '@verbenabeam/core';
import {findRoute} from '@verbenabeam/document';
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
  CallWaits,
  EntryHandler,
  ServingHandler,
  CallScheduler,
} from '../calls/index.js';
import type {CallProtocol} from '../calls/index.js';
import {InstanceAdapter} from '../entry/instance-adapter.js';
import {noClaims} from '../hosted/no-claims.js';
import {AdmissionAdapter} from '../serving/admission-adapter.js';
import {WarmUpMembers, warmUpSlots} from './warm-up-members.js';
import {warmUpSnapshot, warmUpVersion} from './warm-up-document.js';

const nodeKey = Buffer.from('warm-up');

/** Options of {@link WarmUpNode}. @internal */
export interface WarmUpNodeOptions {
  readonly nodeId: string;
  readonly protocol: CallProtocol;
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
  readonly #entry: EntryHandler;
  readonly #server: Server;
  readonly #members: WarmUpMembers;
  #wireAddress = '';
  #calls = 0;

  constructor({nodeId, protocol, random, upstreamAddress}: WarmUpNodeOptions) {
    this.nodeId = nodeId;
    this.#members = new WarmUpMembers(nodeId);
    this.#bus = new TcpPeerBus({nodeId, nodeKey});
    const own = {
      service: 'warm-up',
      version: warmUpVersion,
      address: upstreamAddress,
      state: UPSTREAM_STATES.ready,
      id: nodeId,
    };
    const ledger = new RetryAllowances();
    const shared = {
      ledger,
      protocol,
      gate: new CallScheduler(),
      waits: new CallWaits(),
      invariants: new Invariants(),
    };
    this.#serving = new ServingHandler({
      ...shared,
      upstream: {current: () => own, markDown: () => undefined},
      admission: new AdmissionAdapter({
        clock: systemClock,
        admission: new SlotQueue({slots: warmUpSlots}),
      }),
      quarantine: {
        active: false,
        admit: () => null,
        crashed: () => undefined,
        ended: () => undefined,
      },
      stopped: {isStopped: () => false},
    });
    this.#entry = new EntryHandler({
      ...shared,
      config: {current: () => warmUpSnapshot, match: findRoute},
      versions: {
        choose: () => ({version: warmUpVersion, moveId: null}),
        onSent: () => undefined,
      },
      instances: new InstanceAdapter({
        membership: this.#members,
        clock: systemClock,
        random,
      }),
      retries: new RetryBudget({burst: Infinity}),
      claims: noClaims,
      bus: this.#bus,
      serving: this.#serving,
      observer: {onCall: () => this.#calls++},
      throttle: new AdaptiveThrottle({random}),
      random,
    });
    this.#bus.onStream(CALL_STREAM, this.#serving.onStream);
    this.#server = createServer(this.#entry.handle);
    this.#server.on('connection', this.#entry.onConnection);
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
    return (this.#server.address() as AddressInfo).port;
  }

  async start(): Promise<void> {
    const started = await this.#bus.start('127.0.0.1:0');
    if (started.isErr) throw started.error;
    this.#wireAddress = started.value;
    await once(this.#server.listen(0, '127.0.0.1'), 'listening');
  }

  /** Sets the nodes that serve the calls. */
  setNodes(nodes: readonly WarmUpNode[]): void {
    this.#members.set(nodes);
  }

  async close(): Promise<void> {
    this.#server.close();
    this.#server.closeAllConnections();
    await this.#bus.close();
    await this.#serving.close();
  }
}
