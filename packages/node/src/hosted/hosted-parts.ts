import {findRoute} from '@verbenabeam/document';
import type {Snapshot} from '@verbenabeam/document';
import type {RetryBudget} from '@verbenabeam/routing';
import {
  AdaptiveThrottle,
  RetryAllowances,
  SlotQueue,
} from '@verbenabeam/routing';
import {
  CALL_STREAM,
  CallWaits,
  DataPath,
  EventLoopMonitor,
  CallScheduler,
} from '../calls/index.js';
import type {CallRecord, EntryHandler, ServingHandler} from '../calls/index.js';
import {InstanceAdapter} from '../entry/instance-adapter.js';
import {runPeriodically} from '../run-periodically.js';
import {
  countByState,
  MembershipService,
} from '../membership/membership-service.js';
import {NodeMetrics} from '../metrics/node-metrics.js';
import {AdmissionAdapter} from '../serving/admission-adapter.js';
import {QuarantineAdapter} from '../serving/quarantine-adapter.js';
import {StoreHealth} from '../store/store-health.js';
import {CallLogger} from './call-logger.js';
import {HealthProbe} from './health-probe.js';
import {hostedGauges} from './hosted-gauges.js';
import {hostedGossip} from './hosted-gossip.js';
import {hostedRetryBudget} from './hosted-retry-budget.js';
import type {HostedPartsOptions} from './hosted-parts-options.js';
import type {HostedBounds, HostedSettings} from './hosted-settings.js';
import {HostedVersions} from './hosted-versions.js';
import {LoadMonitor} from './load-monitor.js';
import {callBytesOf, logTraffic} from './log-traffic.js';
import {EraLog} from './era-log.js';
import {DirectoryJoin} from './directory-join.js';
import {NodeDirectory} from './node-directory.js';
import {noClaims} from './no-claims.js';
import {OperatorRecords} from './operator-records.js';
import {ownRecord} from './own-record.js';
import {HostedUpstream} from './hosted-upstream.js';
import {RecordSync} from './record-sync.js';
import {responseTotals} from './response-totals.js';
import {Rollouts} from './rollouts.js';

/** Slots of the upstream before its first heartbeat. */
const initialSlots = 1;
/** Time without a heartbeat after which the upstream is down, in heartbeat intervals. */
const silenceIntervals = 3.2;
const pruneMs = 10_000;
const trafficLogMs = 10_000;
/** A node that knows no peer becomes ready after this time. */
const isolatedReadyMs = 3_000;
/** Creates and connects the parts of a hosted node. @internal */
export class HostedParts {
  readonly membership: MembershipService;
  readonly records: OperatorRecords;
  readonly upstream: HostedUpstream;
  readonly rollouts: Rollouts;
  readonly entry: EntryHandler;
  readonly serving: ServingHandler;
  readonly metrics: NodeMetrics;
  readonly load: LoadMonitor;
  /** Called with each configuration that takes effect. */
  onConfig: (snapshot: Snapshot) => void = () => undefined;
  /** Time that connections of callers wait to be accepted, in ms. */
  acceptWaitMs: () => number = () => 0;
  readonly #options: HostedPartsOptions;
  readonly #store: StoreHealth;
  readonly #admission: AdmissionAdapter;
  readonly #quarantine: QuarantineAdapter;
  readonly #instances: InstanceAdapter;
  readonly #directory: NodeDirectory;
  readonly #join: DirectoryJoin;
  readonly #sync: RecordSync;
  readonly #retryBudget: RetryBudget;
  readonly #calls: CallLogger;
  readonly #loop: EventLoopMonitor;
  readonly #callWaits = new CallWaits();
  #bounds: HostedBounds;
  #startedAt = Infinity;
  /** Time at which the configuration took effect. */
  #configActiveSince = Infinity;
  #draining = false;

  constructor(options: HostedPartsOptions) {
    this.#options = options;
    this.#bounds = options.settings.bounds;
    const {bus, clock, random, invariants, signal, settings} = options;
    this.metrics = this.#createMetrics();
    invariants.onBroken(code => this.metrics.recordBrokenInvariant(code));
    this.#store = new StoreHealth(options.store, {
      began: () => this.metrics.recordStoreCall('node'),
      ended: err => this.metrics.recordStoreOutcome('node', err?.code),
    });
    this.membership = new MembershipService({
      own: ownRecord(options),
      bus,
      clock,
      random,
      signal,
      gossip: hostedGossip,
      silenceMs: settings.heartbeatMs * silenceIntervals,
    });
    const shared = {membership: this.membership, bus, clock, random};
    this.rollouts = new Rollouts({
      ...shared,
      store: this.#store,
      format: options.operatorFormat,
      bounds: settings.bounds,
      signal,
    });
    const eraLog = new EraLog({
      store: this.#store,
      rollouts: () => this.rollouts.unrecorded(),
      isListed: () => this.#join.isListed,
    });
    this.records = new OperatorRecords(options.operatorFormat, invariants, {
      onConfig: snapshot => this.#onConfig(snapshot),
      onOrder: record => this.rollouts.onOrder(record),
      onOrderMoved: record => this.rollouts.onOrderMoved(record),
      onEra: (before, after) => eraLog.onPosition(before, after),
      onRevision: revision => this.#sync.progress.onHeld(revision),
    });
    const probe = new HealthProbe({
      idHeader: options.upstreamFormat.healthIdHeader,
      healthPath: service =>
        this.records.snapshot?.document.services.get(service)?.healthPath,
      signal,
    });
    this.upstream = new HostedUpstream({
      membership: this.membership,
      clock,
      isKnownService: service => this.#isKnownService(service),
      probe: report => probe.probe(report),
    });
    this.#sync = new RecordSync({
      ...shared,
      store: this.#store,
      records: this.records,
      isPlaced: () => this.#join.isPlaced,
      isFirst: () => this.#join.isFirst,
      prefix: options.operatorFormat.prefix,
      signal,
    });
    this.#directory = new NodeDirectory({
      store: this.#store,
      nodeId: settings.nodeId,
      address: options.wireAddress,
      minLeaseMs: settings.store.minLeaseMs,
      isListed: () => this.#join.isListed,
      random,
      signal,
    });
    this.#join = new DirectoryJoin({
      ...shared,
      directory: this.#directory,
      signal,
    });
    this.#loop = new EventLoopMonitor(() => clock.now());
    const scheduler = new CallScheduler({loop: this.#loop});
    this.#admission = new AdmissionAdapter({
      clock,
      admission: new SlotQueue({slots: initialSlots}),
      onSlotReleased: (route, heldMs) =>
        this.load.recordSlotTime(route, heldMs),
    });
    this.load = new LoadMonitor({
      load: () => this.#admission.load(),
      callBytes: () => callBytesOf(bus),
      waiting: () => scheduler.waiting,
      waits: () => this.#callWaits.totals.take(),
      responses: () => responseTotals(this),
    });
    this.#quarantine = new QuarantineAdapter(shared);
    const {membership} = this;
    this.#instances = new InstanceAdapter({membership, clock, random});
    this.#retryBudget = hostedRetryBudget(
      () => this.#bounds,
      () => this.membership.live().length,
    );
    this.#calls = new CallLogger(this.metrics);
    const versions = new HostedVersions(this.membership, this.rollouts);
    const dataPath = new DataPath({
      config: {
        current: () => this.records.snapshot,
        match: (snapshot, query) => findRoute(snapshot, query),
      },
      versions,
      stopped: versions,
      instances: this.#instances,
      retries: this.#retryBudget,
      ledger: new RetryAllowances(),
      claims: noClaims,
      bus,
      upstream: this.upstream,
      admission: this.#admission,
      quarantine: this.#quarantine,
      observer: {onCall: record => this.#onCall(record)},
      protocol: options.protocol,
      scheduler,
      waits: this.#callWaits,
      throttle: new AdaptiveThrottle({random}),
      random,
      invariants,
    });
    this.serving = dataPath.serving;
    this.entry = dataPath.entry;
  }

  /** Whether configured and not draining, with a peer or after {@link isolatedReadyMs}. */
  get isReady(): boolean {
    if (this.#draining || !this.records.snapshot) return false;
    if (this.membership.live().length > 1) return true;
    return this.#options.clock.now() - this.#startedAt > isolatedReadyMs;
  }

  /** Applies bounds that the platform has changed. */
  reload({bounds}: HostedSettings): void {
    this.#bounds = bounds;
    this.rollouts.bounds = bounds;
  }

  /** Starts the protocols and timers. */
  start(): void {
    const {bus, signal, settings, clock} = this.#options;
    this.#startedAt = clock.now();
    this.#loop.start(signal);
    this.load.start(signal);
    bus.onStream(CALL_STREAM, this.serving.onStream);
    this.membership.monitor.onChange(({slots}) =>
      this.#admission.setSlots(slots),
    );
    this.#quarantine.start();
    this.rollouts.start();
    this.membership.start(settings.seeds);
    this.#sync.start();
    void this.#directory.run();
    this.#join.start();
    runPeriodically(trafficLogMs, signal, () => logTraffic(bus));
    runPeriodically(pruneMs, signal, () => this.#instances.retainMembers());
  }

  /** Announces that the node is draining, so that peers stop sending calls. */
  beginDrain(): void {
    this.#draining = true;
    this.membership.drain();
  }

  /** Leaves the membership and removes this node's entry from the directory. */
  async leave(): Promise<void> {
    this.membership.leave();
    await this.#directory.leave();
  }

  #isKnownService(service: string): boolean {
    const {snapshot} = this.records;
    return !snapshot || snapshot.document.services.has(service);
  }

  #onConfig(snapshot: Snapshot): void {
    this.#configActiveSince = this.#options.clock.now();
    this.#retryBudget.retain(new Set(this.#serviceNames()));
    const routes = new Set(snapshot.document.routes.map(({name}) => name));
    this.#admission.retainRoutes(routes);
    this.onConfig(snapshot);
  }

  #serviceNames(): string[] {
    return [...(this.records.snapshot?.document.services.keys() ?? [])];
  }

  #onCall(record: CallRecord): void {
    this.#calls.onCall(record);
    this.load.recordCall(record);
    this.rollouts.onCall(record);
  }

  #createMetrics(): NodeMetrics {
    return new NodeMetrics({
      configVersion: () => this.records.snapshot?.version ?? 0,
      members: () => countByState(this.membership.live()),
      bytes: () => this.#options.bus.bytes(),
      sentByKind: () => this.#options.bus.sentByKind(),
      inFlight: () => this.serving.inFlight,
      gauges: hostedGauges({
        load: () => this.#admission.load(),
        retriesLeft: service => this.#retryBudget.tokens(service),
        rollouts: () => this.rollouts.view(),
        configAgeMs: () => this.#options.clock.now() - this.#configActiveSince,
        behindMs: () => this.#sync.progress.behindMs,
        services: () => this.#serviceNames(),
        eras: () => this.#store.eras?.view,
        isStoreReachable: () => this.#store.reachable,
        acceptWaitMs: () => this.acceptWaitMs(),
        waits: () => this.#callWaits.counts,
        busyRatio: () => this.load.busyRatio,
        responses: () => responseTotals(this),
      }),
    });
  }
}
