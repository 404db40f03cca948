import {logger} from '@verbenabeam/core';
import type {Clock, RandomSource} from '@verbenabeam/core';
import {analyzeRollout, mayFinish, plannedShare} from '@verbenabeam/moves';
import type {RolloutBounds} from '@verbenabeam/moves';
import type {Store} from '@verbenabeam/store';
import type {PeerBus} from '@verbenabeam/wire';
import type {CallRecord} from '../calls/index.js';
import {runPeriodically} from '../run-periodically.js';
import type {MembershipService} from '../membership/membership-service.js';
import {ROLLOUT_STATES} from './operator-documents.js';
import type {OperatorFormat} from './operator-documents.js';
import {DisplacedRuns} from './displaced-runs.js';
import type {OrderRecord} from './operator-records.js';
import {
  EVIDENCE_NOTICE,
  evidenceSchema,
  isOfOrder,
  orderIdOf,
  STAGE_NOTICE,
  stageSchema,
} from './rollout-messages.js';
import type {EvidenceMessage, StageMessage} from './rollout-messages.js';
import {orderFields, progressOf, stageOf} from './rollout-progress.js';
import {RolloutRecorder} from './rollout-recorder.js';
import {RolloutRun} from './rollout-run.js';
import type {RolloutView} from './rollout-view.js';
import {InFlightByVersion} from './in-flight-by-version.js';
import {StableVersions} from './stable-versions.js';
import type {ReadyVersions} from './stable-versions.js';

export type {ReadyVersions} from './stable-versions.js';

/** Dependencies of {@link Rollouts}. @internal */
export interface RolloutsOptions {
  readonly bus: PeerBus;
  readonly membership: MembershipService;
  readonly store: Store;
  readonly format: OperatorFormat;
  readonly bounds: RolloutBounds;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly signal: AbortSignal;
}

const tickMs = 250;
/** Nodes that coordinate a rollout; several, because any of them may stop. */
const coordinatorCount = 3;
/** Ticks between writes of the coordinators that do not have the lowest node id. */
const backupWriteTicks = 3;
/** Statuses that a coordinator reads or writes in one tick. */
const maxStatusCalls = 4;
const badOutcomes: ReadonlySet<string> = new Set(['failed', 'lost', 'timeout']);
const countedOutcomes: ReadonlySet<string> = new Set(['ok', ...badOutcomes]);
const log = logger('rollout');

/**
 * Moves the traffic of services to other upstream versions on the orders of operators.
 * Each node sends a share of its calls to the new version and reports the outcomes
 * to a few coordinators. The coordinators raise the share or roll the version back,
 * and write the result to the store.
 *
 * @internal
 */
export class Rollouts {
  /** Limits of the platform; a reload may change them. */
  bounds: RolloutBounds;
  readonly #options: RolloutsOptions;
  readonly #recorder: RolloutRecorder;
  readonly #runs = new Map<string, RolloutRun>();
  readonly #displaced = new DisplacedRuns();
  readonly #stable = new StableVersions();
  readonly #inFlight = new InFlightByVersion();
  #ticks = 0;

  constructor(options: RolloutsOptions) {
    this.#options = options;
    this.bounds = options.bounds;
    this.#recorder = new RolloutRecorder(options.store, options.format);
  }

  start(): void {
    const {bus, clock, signal} = this.#options;
    bus.onNotice(EVIDENCE_NOTICE, (body, peer) => {
      const parsed = evidenceSchema.safeParse(body);
      if (parsed.success) this.#onEvidence(peer.nodeId, parsed.data);
      else log('Malformed rollout evidence dropped.', {from: peer.nodeId});
    });
    bus.onNotice(STAGE_NOTICE, (body, peer) => {
      const parsed = stageSchema.safeParse(body);
      if (parsed.success) this.#onStage(peer.nodeId, parsed.data);
      else log('Malformed rollout stage dropped.', {from: peer.nodeId});
    });
    runPeriodically(tickMs, signal, () => this.#tick(clock.now()));
  }

  /** Starts the rollout of an operator's order. */
  onOrder(record: OrderRecord): void {
    const {order, revision} = record;
    const previous = this.#runs.get(order.service);
    if (previous && previous.orderRecord.revision >= revision) return;
    const now = this.#options.clock.now();
    const former = this.#displaced.replace(previous, record, now);
    const run = former ?? new RolloutRun(record, this.bounds, now);
    this.#runs.set(order.service, run);
    log('Rollout order received.', orderFields(run));
    if (!former) void this.#recorder.read(run);
  }

  /**
   * Takes the new position of an order that is held already. The store may have lost
   * its status, which is then written again.
   */
  onOrderMoved({order, revision}: OrderRecord): void {
    const run = this.#runs.get(order.service);
    if (!run) return;
    run.move(revision, this.#options.clock.now());
  }

  /** Services whose status the store is yet to show. */
  unrecorded(): readonly string[] {
    return [...this.#runs]
      .filter(([, run]) => run.recorded !== run.state)
      .map(([service]) => service);
  }

  /** Running rollouts, for the metrics. */
  view(): readonly RolloutView[] {
    const now = this.#options.clock.now();
    return [...this.#runs]
      .filter(([, run]) => run.isRunning)
      .map(([service, run]) => ({
        service,
        version: run.target,
        share: run.share(now),
        sent: run.evidence.sent,
        sentFresh: run.evidence.sentFresh,
      }));
  }

  /** Version for the next attempt; null if no instance is ready. */
  choose(
    service: string,
    versions: ReadyVersions,
    isRetry: boolean,
  ): string | null {
    const run = this.#runs.get(service);
    const stable = this.#stable.choose(service, versions, run);
    if (!run || !versions.has(run.target)) return stable;
    if (run.state === ROLLOUT_STATES.done) return run.target;
    if (run.state === ROLLOUT_STATES.rolledBack) return stable;
    const share = run.share(this.#options.clock.now());
    if (stable === null) return run.target;
    if (share < 1 && isRetry) return stable;
    return this.#options.random.float() < share ? run.target : stable;
  }

  onSent(service: string, version: string): void {
    this.#inFlight.began(service, version);
    const run = this.#runs.get(service);
    if (!run?.isRunning) return;
    run.evidence.sent++;
    if (version === run.target) run.evidence.sentFresh++;
  }

  /** Adds the outcomes of a finished call. */
  onCall({service, route, attempts}: CallRecord): void {
    if (service === null) return;
    const run = this.#runs.get(service);
    for (const {version, outcome, latencyMs} of attempts) {
      this.#inFlight.ended(service, version);
      if (!run?.isRunning || !countedOutcomes.has(outcome)) continue;
      run.evidence.add({
        route: route ?? '',
        isNew: version === run.target,
        isBad: badOutcomes.has(outcome),
        ms: latencyMs,
      });
    }
  }

  /** Whether the rollout to the version was rolled back. */
  isStopped(service: string, version: string): boolean {
    const run = this.#runs.get(service);
    if (run?.state !== ROLLOUT_STATES.rolledBack) return false;
    return run.target === version;
  }

  #onEvidence(from: string, message: EvidenceMessage): void {
    const {service, report} = message;
    const run = this.#runs.get(service);
    if (!run || !isOfOrder(message, run.orderRecord.revision)) return;
    const now = this.#options.clock.now();
    run.onReport(from, report, now);
    if (!run.isRunning) this.#tellEnd(from, run, now);
  }

  #onStage(from: string, stage: StageMessage): void {
    const run = this.#runs.get(stage.service);
    if (!run || !isOfOrder(stage, run.orderRecord.revision)) return;
    const now = this.#options.clock.now();
    if (!run.isRunning && stage.state === ROLLOUT_STATES.running) {
      this.#tellEnd(from, run, now);
    }
    if (!run.onStage(from, stage, now)) return;
    log('Rollout has ended.', {...stage, from});
  }

  /** Tells a node that took the rollout up, for example after a restart. */
  #tellEnd(nodeId: string, run: RolloutRun, now: number): void {
    const {bus, membership} = this.#options;
    const address = membership.addressOf(nodeId);
    if (address === undefined) return;
    bus.notify(address, STAGE_NOTICE, stageOf(run, run.share(now), now));
  }

  #tick(now: number): void {
    this.#ticks++;
    const live = this.#options.membership
      .live()
      .map(({nodeId, address}) => ({nodeId, address}))
      .sort((a, b) => (a.nodeId < b.nodeId ? -1 : 1));
    const own = this.#options.membership.own.nodeId;
    const rank = live.findIndex(({nodeId}) => nodeId === own);
    const isCoordinator = rank >= 0 && rank < coordinatorCount;
    for (const run of this.#runs.values()) {
      if (run.isRunning) this.#report(run, live, now);
      if (isCoordinator && run.isRunning) this.#decide(run, live, rank, now);
    }
    if (isCoordinator) this.#record(rank, now);
  }

  #report(run: RolloutRun, live: readonly Peer[], now: number): void {
    const {service} = run.orderRecord.order;
    const stable = this.#stable.get(service);
    run.evidence.oldInFlight =
      stable === undefined || stable === run.target
        ? 0
        : this.#inFlight.count(service, stable);
    const share = run.share(now);
    if (share !== run.reportedShare) {
      log('Rollout share has changed.', {
        service,
        share,
        judges: run.assignedShares(now),
      });
      run.reportedShare = share;
    }
    const report = run.evidence.report(share);
    const {bus, membership} = this.#options;
    const message: EvidenceMessage = {
      service,
      ...orderIdOf(run.orderRecord.revision),
      report,
    };
    for (const {nodeId, address} of live.slice(0, coordinatorCount)) {
      if (nodeId === membership.own.nodeId) run.onReport(nodeId, report, now);
      else bus.notify(address, EVIDENCE_NOTICE, message);
    }
  }

  /** Writes states that the store does not show yet. */
  #record(rank: number, now: number): void {
    if (this.#ticks % backupWriteTicks !== 0 && rank !== 0) return;
    let calls = 0;
    for (const run of this.#runs.values()) {
      run.recheck(now);
      if (run.recorded === run.state) continue;
      void this.#recorder.write(run);
      if (++calls === maxStatusCalls) return;
    }
  }

  #decide(
    run: RolloutRun,
    live: readonly Peer[],
    rank: number,
    now: number,
  ): void {
    const total = run.totalEvidence();
    const finding = analyzeRollout(total);
    const {bounds} = this;
    const {membership} = this.#options;
    const {service} = run.orderRecord.order;
    const isReady = membership.versions(service, new Set()).has(run.target);
    const progress = progressOf(run, total, isReady, now);
    const share = plannedShare(bounds, progress);
    if (finding) {
      log('Version is rolled back.', {service, target: run.target, ...finding});
      run.state = ROLLOUT_STATES.rolledBack;
    } else if (rank === 0 && share === 1 && mayFinish(bounds, progress)) {
      const nodeIds = live.map(({nodeId}) => nodeId);
      const waitsFor = run.laggingNodes(nodeIds, now);
      if (waitsFor.length === 0) {
        log('New version has all traffic.', {service, ...progress});
        run.state = ROLLOUT_STATES.done;
      } else {
        log('Rollout waits for nodes.', {service, waitsFor});
      }
    }
    this.#broadcast(run, live, share, now);
  }

  #broadcast(
    run: RolloutRun,
    live: readonly Peer[],
    share: number,
    now: number,
  ): void {
    const {bus, membership} = this.#options;
    const stage = stageOf(run, share, now);
    run.onStage(membership.own.nodeId, stage, now);
    for (const {nodeId, address} of live) {
      if (nodeId === membership.own.nodeId) continue;
      bus.notify(address, STAGE_NOTICE, stage);
    }
  }
}

interface Peer {
  readonly nodeId: string;
  readonly address: string;
}
