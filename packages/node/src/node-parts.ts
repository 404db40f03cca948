import type {
  Clock,
  Invariants,
  MeshError,
  RandomSource,
} from '@verbenabeam/core';
import {findRoute} from '@verbenabeam/document';
import type {Snapshot} from '@verbenabeam/document';
import {NODE_STATES} from '@verbenabeam/membership';
import type {InstanceRecord} from '@verbenabeam/membership';
import {Admission, RetryBudget, RetryAllowances} from '@verbenabeam/routing';
import type {Store, StoreRevisions} from '@verbenabeam/store';
import type {PeerBus} from '@verbenabeam/wire';
import {Result} from 'true-myth';
import {CALL_EXPLAIN, callRoutes, explainHere} from './admin/call-routes.js';
import {documentRoutes} from './admin/document-routes.js';
import {healthRoutes} from './admin/health-routes.js';
import {statusRoutes} from './admin/status-routes.js';
import type {AdminRoute} from './admin/admin-route.js';
import {
  CALL_STREAM,
  CallLog,
  drainCalls,
  EntryHandler,
  nativeProtocol,
  ServingHandler,
} from './calls/index.js';
import type {ConfigPort} from './calls/index.js';
import {ClaimsService} from './claims/claims-service.js';
import {DistributionService} from './distribution/distribution-service.js';
import {STATUS_LAG} from './distribution/lag-report.js';
import type {LagResponse} from './distribution/lag-report.js';
import {CallEvidence} from './entry/call-evidence.js';
import {FinishedCallObserver} from './entry/finished-call-observer.js';
import {InstanceAdapter} from './entry/instance-adapter.js';
import {VersionAdapter} from './entry/version-adapter.js';
import {runPeriodically} from './run-periodically.js';
import {
  MembershipService,
  countByState,
} from './membership/membership-service.js';
import {findSeeds} from './membership/find-seeds.js';
import {NodeMetrics} from './metrics/node-metrics.js';
import {MovesService} from './moves/moves-service.js';
import {AdmissionAdapter} from './serving/admission-adapter.js';
import {OwnUpstreamAdapter} from './serving/own-upstream-adapter.js';
import {StoppedVersionsAdapter} from './serving/stopped-versions-adapter.js';
import {QuarantineAdapter} from './serving/quarantine-adapter.js';
import type {NodeSettings} from './settings/node-settings.js';
import {StoreHealth} from './store/store-health.js';

/** Slots until the upstream announces its number of slots. */
const initialSlots = 1;
/** Interval for dropping the picker state of former members. */
const retainIntervalMs = 10_000;
const rejoinIntervalMs = 5_000;

/** Options of {@link NodeParts}. @internal */
export interface NodePartsOptions {
  readonly settings: NodeSettings;
  readonly nodeId: string;
  readonly wireAddress: string;
  readonly bus: PeerBus;
  readonly store: Store;
  /** Revisions that the responses of `store` contain. */
  readonly revisions: StoreRevisions;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly invariants: Invariants;
  readonly signal: AbortSignal;
}

/** Creates, connects and starts the components of a node. @internal */
export class NodeParts {
  readonly membership: MembershipService;
  readonly distribution: DistributionService;
  readonly moves: MovesService;
  readonly claims: ClaimsService;
  readonly entry: EntryHandler;
  readonly serving: ServingHandler;
  readonly calls = new CallLog();
  readonly metrics: NodeMetrics;
  readonly adminRoutes: readonly AdminRoute[];
  readonly #options: NodePartsOptions;
  readonly #retries: RetryBudget;
  readonly #ledger = new RetryAllowances();
  readonly #store: StoreHealth;
  readonly #admission: AdmissionAdapter;
  readonly #quarantine: QuarantineAdapter;
  readonly #instances: InstanceAdapter;

  constructor(options: NodePartsOptions) {
    this.#options = options;
    const {bus, clock, random, invariants, signal, settings} = options;
    this.metrics = this.#createMetrics();
    this.#store = new StoreHealth(options.store, {
      began: () => this.metrics.recordStoreCall('node'),
    });
    const store = this.#store;
    invariants.onBroken(code => this.metrics.recordBrokenInvariant(code));
    this.membership = new MembershipService({
      own: ownRecord(options),
      bus,
      clock,
      random,
      signal,
    });
    const shared = {membership: this.membership, bus, store, clock};
    const context = {...shared, random, invariants, signal};
    this.moves = new MovesService({
      ...context,
      isRelay: () => this.distribution.isRelay,
    });
    this.distribution = new DistributionService({
      ...context,
      onApplied: snapshot => this.#onApplied(snapshot),
      moves: () => this.moves.knowledge().records,
      onMoves: values => this.moves.onRecords(values),
      onMoveEvent: event => this.moves.onStoreEvent(event),
    });
    this.claims = new ClaimsService({
      ...context,
      problem: () => this.distribution.tracker.status.problem,
      revisions: options.revisions,
    });
    this.#admission = new AdmissionAdapter({
      clock,
      admission: new Admission({
        slots: initialSlots,
        maxWaitMs: settings.limits.queue_wait,
      }),
    });
    this.#quarantine = new QuarantineAdapter(shared);
    this.#instances = new InstanceAdapter({...shared, random});
    this.serving = new ServingHandler({
      upstream: new OwnUpstreamAdapter(this.membership.monitor),
      admission: this.#admission,
      quarantine: this.#quarantine,
      stopped: new StoppedVersionsAdapter(this.moves.gate),
      ledger: this.#ledger,
      protocol: nativeProtocol,
      invariants,
    });
    this.#retries = new RetryBudget({share: settings.limits.retry_share});
    this.entry = this.#createEntry();
    const adminContext = {
      ...shared,
      distribution: this.distribution,
      moves: this.moves,
      claims: this.claims,
      calls: this.calls,
      metrics: this.metrics,
      storeHealth: store,
    };
    this.adminRoutes = [
      ...documentRoutes(adminContext),
      ...statusRoutes(adminContext),
      ...callRoutes(adminContext),
      ...healthRoutes(adminContext),
    ];
  }

  /**
   * Starts the node protocols; calls are served once a configuration is active.
   */
  async start(): Promise<void> {
    const {bus, signal, settings} = this.#options;
    bus.onStream(CALL_STREAM, this.serving.onStream);
    bus.onRequest(CALL_EXPLAIN, body => Result.ok(this.#explain(body)));
    bus.onRequest(STATUS_LAG, () => Result.ok(this.#lagReport()));
    this.membership.monitor.onChange(({slots}) =>
      this.#admission.setSlots(slots),
    );
    this.#quarantine.start();
    this.claims.start();
    this.moves.start();
    this.distribution.start();
    const seeds = await findSeeds(settings.seeds.addresses, this.#store);
    this.membership.start(seeds);
    runPeriodically(retainIntervalMs, signal, () =>
      this.#instances.retainMembers(),
    );
    runPeriodically(rejoinIntervalMs, signal, () => void this.#rejoinIfAlone());
  }

  /**
   * Refuses new calls and waits for the calls in flight.
   *
   * @param maxWaitMs - Maximum wait in milliseconds; 0 means no limit.
   */
  async drain(maxWaitMs: number): Promise<void> {
    this.membership.drain();
    const drained = drainCalls(this.entry, this.serving);
    if (maxWaitMs === 0) await drained;
    else await Promise.race([drained, wait(maxWaitMs)]);
    this.entry.checkDrained();
  }

  /**
   * Releases the roles of this node and announces to the peers that it leaves.
   */
  async leave(): Promise<void> {
    await Promise.all([this.moves.stop(), this.distribution.stop()]);
    this.membership.leave();
    await this.serving.close();
  }

  #createEntry(): EntryHandler {
    const {bus, invariants, clock, random} = this.#options;
    const finished = new FinishedCallObserver({
      calls: this.calls,
      metrics: this.metrics,
      moves: this.moves,
      distribution: this.distribution,
      evidence: new CallEvidence(this.membership, clock),
    });
    return new EntryHandler({
      config: this.#configPort(),
      versions: new VersionAdapter(this.moves, this.membership),
      instances: this.#instances,
      retries: this.#retries,
      ledger: this.#ledger,
      claims: this.claims,
      bus,
      serving: this.serving,
      observer: finished,
      protocol: nativeProtocol,
      random,
      invariants,
    });
  }

  #configPort(): ConfigPort {
    return {
      current: () => (this.moves.synced ? this.distribution.current() : null),
      match: (snapshot, query) => findRoute(snapshot, query),
    };
  }

  #onApplied(snapshot: Snapshot): void {
    this.moves.onApplied(snapshot);
    this.#retries.retain(new Set(snapshot.document.services.keys()));
    const routes = new Set(snapshot.document.routes.map(({name}) => name));
    this.#admission.retainRoutes(routes);
    const delayMs = this.#options.clock.wallTime() - snapshot.acceptedAt;
    this.metrics.recordConvergence(Math.max(0, delayMs));
  }

  #explain(body: unknown): unknown {
    const callId = (body as {callId?: unknown} | null)?.callId;
    return typeof callId === 'string' ? explainHere(this, callId) : null;
  }

  #lagReport(): LagResponse {
    const {version, problem} = this.distribution.tracker.status;
    const reason = problem
      ? `${problem.code.code} ${problem.message}`
      : 'has not received it yet';
    return {version, reason};
  }

  /** Joins through the relays that the store lists while no peer is known. */
  async #rejoinIfAlone(): Promise<void> {
    if (this.membership.live().length > 1) return;
    const {settings} = this.#options;
    const seeds = await findSeeds(settings.seeds.addresses, this.#store);
    const others = seeds.filter(seed => seed !== this.membership.own.address);
    if (others.length > 0) this.membership.rejoin(others);
  }

  #createMetrics(): NodeMetrics {
    return new NodeMetrics({
      configVersion: () => this.distribution.tracker.digest.version,
      members: () => countByState(this.membership.live()),
      bytes: () => this.#options.bus.bytes(),
      sentByKind: () => this.#options.bus.sentByKind(),
      inFlight: () => this.serving.inFlight,
    });
  }
}

/** Creates the components of a node. @internal */
export function createParts(options: NodePartsOptions): NodeParts {
  return new NodeParts(options);
}

function ownRecord(options: NodePartsOptions): InstanceRecord {
  const {node} = options.settings;
  return {
    nodeId: options.nodeId,
    incarnation: options.clock.wallTime(),
    sequence: 1,
    address: options.wireAddress,
    dataCentre: node.data_centre,
    region: node.region,
    environment: node.environment,
    state: NODE_STATES.alive,
    upstream: null,
    relay: false,
    configVersion: 0,
  };
}

function wait(ms: number): Promise<MeshError | null> {
  return new Promise(resolve => setTimeout(() => resolve(null), ms));
}
