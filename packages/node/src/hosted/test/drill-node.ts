import {setMaxListeners} from 'node:events';
import {Invariants, MeshError, DOCUMENT_CODES} from '@verbenabeam/core';
import type {RandomSource} from '@verbenabeam/core';
import type {Snapshot} from '@verbenabeam/document';
import {NODE_STATES} from '@verbenabeam/membership';
import type {RolloutBounds} from '@verbenabeam/moves';
import type {Store} from '@verbenabeam/store';
import type {PeerBus} from '@verbenabeam/wire';
import {Result} from 'true-myth';
import type {CallRecord} from '../../calls/index.js';
import {MembershipService} from '../../membership/membership-service.js';
import {runPeriodically} from '../../run-periodically.js';
import {DirectoryJoin} from '../directory-join.js';
import {hostedGossip} from '../hosted-gossip.js';
import {NodeDirectory} from '../node-directory.js';
import type {
  OperatorDocument,
  OperatorFormat,
  RolloutOrder,
  RolloutStatus,
} from '../operator-documents.js';
import {OperatorRecords} from '../operator-records.js';
import type {OperatorListener} from '../operator-records.js';
import {RecordSync} from '../record-sync.js';
import {Rollouts} from '../rollouts.js';
import type {VirtualTime} from './virtual-time.js';

const configKey = 'op/config';
const service = 'shop';
const bounds: RolloutBounds = {canaryShare: 0.1, canarySlack: 40};
const callsTickMs = 100;
const callsPerTick = 16;
const heartbeatMs = 1_000;
const minLeaseMs = 2_000;
/** As in the parts of a hosted node. */
const isolatedReadyMs = 3_000;

/** Keys and service of the run. */
export const DRILL_KEYS = {
  config: configKey,
  order: `op/rollout/${service}`,
  status: `status/rollout/${service}`,
} as const;

/** Documents of the run as JSON. */
export const drillFormat: OperatorFormat = {
  prefix: 'op/',
  parse: (key, value): Result<OperatorDocument | null, MeshError> => {
    try {
      const body: unknown = JSON.parse(Buffer.from(value).toString());
      if (key === configKey) {
        const {version} = body as {version: number};
        return Result.ok({kind: 'config', snapshot: snapshotOf(version)});
      }
      return Result.ok({kind: 'order', order: body as RolloutOrder});
    } catch (err) {
      const text = String(err);
      return Result.err(new MeshError(DOCUMENT_CODES.wrongType, text));
    }
  },
  statusKey: name => `status/rollout/${name}`,
  encodeStatus: status => Buffer.from(JSON.stringify(status)),
  parseStatus: value =>
    JSON.parse(Buffer.from(value).toString()) as RolloutStatus,
};

function snapshotOf(version: number): Snapshot {
  return {version, document: {routes: []}} as unknown as Snapshot;
}

/** What a process of a node is made of. */
export interface DrillNodeOptions {
  readonly nodeId: string;
  readonly memberId: string;
  readonly dataCentre: string;
  readonly address: string;
  readonly time: VirtualTime;
  readonly random: RandomSource;
  readonly store: Store;
  readonly bus: PeerBus;
  /** Version of the upstream beside the node. */
  readonly upstreamVersion: () => string;
  readonly isBad: (version: string) => boolean;
  readonly onConfig: (version: number) => void;
  /** Called often while the process runs. */
  readonly onTick: () => void;
  /** Whether callers use the node; default true. */
  readonly hasCalls?: boolean;
}

/** One process of a hosted node without its data path. */
export class DrillNode {
  readonly records: OperatorRecords;
  readonly rollouts: Rollouts;
  readonly membership: MembershipService;
  readonly #options: DrillNodeOptions;
  readonly #end = new AbortController();
  readonly #startedAt: number;
  readonly #sync: RecordSync;
  readonly #directory: NodeDirectory;
  readonly #join: DirectoryJoin;

  constructor(options: DrillNodeOptions) {
    this.#options = options;
    this.#startedAt = options.time.now();
    const {time: clock, random, bus, store, address, memberId} = options;
    const {signal} = this.#end;
    setMaxListeners(0, signal);
    this.membership = new MembershipService({
      own: {
        nodeId: memberId,
        incarnation: clock.wallTime(),
        sequence: 1,
        address,
        dataCentre: options.dataCentre,
        region: 'r',
        environment: 'platform',
        state: NODE_STATES.alive,
        upstream: null,
        relay: false,
        configVersion: 0,
      },
      bus,
      clock,
      random,
      signal,
      gossip: hostedGossip,
    });
    const shared = {membership: this.membership, bus, clock, random, signal};
    this.rollouts = new Rollouts({
      ...shared,
      store,
      format: drillFormat,
      bounds,
    });
    const listener: OperatorListener = {
      onConfig: ({version}) => options.onConfig(version),
      onOrder: record => this.rollouts.onOrder(record),
      onOrderMoved: record => this.rollouts.onOrderMoved(record),
      onRevision: revision => this.#sync.progress.onHeld(revision),
    };
    this.records = new OperatorRecords(
      drillFormat,
      new Invariants(),
      listener,
      clock,
    );
    this.#sync = new RecordSync({
      ...shared,
      store,
      records: this.records,
      isPlaced: () => this.#join.isPlaced,
      isFirst: () => this.#join.isFirst,
      prefix: drillFormat.prefix,
    });
    this.#directory = new NodeDirectory({
      store,
      nodeId: options.nodeId,
      address,
      minLeaseMs,
      isListed: () => this.#join.isListed,
      random,
      signal,
    });
    this.#join = new DirectoryJoin({...shared, directory: this.#directory});
  }

  get version(): number {
    return this.records.snapshot?.version ?? 0;
  }

  /** Whether a hosted node in this state is ready for callers. */
  get isServing(): boolean {
    if (!this.records.snapshot) return false;
    if (this.membership.live().length > 1) return true;
    return this.#options.time.now() - this.#startedAt > isolatedReadyMs;
  }

  /** Target of the running rollout; null for none. */
  get runningTarget(): string | null {
    return this.rollouts.view()[0]?.version ?? null;
  }

  /** Whether this process holds the order, and its rollout has ended. */
  knowsResult(target: string): boolean {
    if (this.runningTarget === target) return false;
    const record = this.records.since(0).find(r => r.key === DRILL_KEYS.order);
    if (!record) return false;
    const order = JSON.parse(
      Buffer.from(record.value).toString(),
    ) as RolloutOrder;
    return order.targetVersion === target;
  }

  start(): void {
    const {signal} = this.#end;
    this.rollouts.start();
    this.membership.start([]);
    this.#sync.start();
    void this.#directory.run();
    this.#join.start();
    this.#beat();
    runPeriodically(heartbeatMs, signal, () => this.#beat());
    if (this.#options.hasCalls === false) return;
    runPeriodically(callsTickMs, signal, () => this.#call());
  }

  abort(): void {
    this.#end.abort();
  }

  #beat(): void {
    const {upstreamVersion} = this.#options;
    this.membership.announce({
      service,
      version: upstreamVersion(),
      address: '127.0.0.1:1',
      slots: 4,
      state: 'ready',
    });
  }

  #call(): void {
    const {isBad, onTick} = this.#options;
    const versions = this.membership.versions(service, new Set());
    for (let i = 0; i < callsPerTick; i++) {
      const version = this.rollouts.choose(service, versions, false);
      if (version === null) continue;
      this.rollouts.onSent(service, version);
      const outcome = isBad(version) ? 'failed' : 'ok';
      const attempts = [{version, outcome, latencyMs: 10}];
      this.rollouts.onCall({
        service,
        route: 'r',
        attempts,
      } as unknown as CallRecord);
    }
    onTick();
  }
}
