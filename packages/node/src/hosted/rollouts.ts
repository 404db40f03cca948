import {logger} from '@verbenabeam/core';
import type {Clock, RandomSource} from '@verbenabeam/core';
import {analyzeRollout, mayFinish, plannedShare} from '@verbenabeam/moves';
import type {RolloutBounds, RolloutProgress} from '@verbenabeam/moves';
import type {Store} from '@verbenabeam/store';
import type {PeerBus} from '@verbenabeam/wire';
import type {CallRecord} from '../calls/index.js';
import {runPeriodically} from '../run-periodically.js';
import type {MembershipService} from '../membership/membership-service.js';
import {ROLLOUT_STATES} from './operator-documents.js';
import type {OperatorFormat} from './operator-documents.js';
import type {OrderRecord} from './operator-records.js';
import {
  EVIDENCE_NOTICE,
  evidenceSchema,
  STAGE_NOTICE,
  stageSchema,
} from './rollout-messages.js';
import type {EvidenceMessage, StageMessage} from './rollout-messages.js';
import {RolloutRecorder} from './rollout-recorder.js';
import {RolloutRun} from './rollout-run.js';
import type {RolloutView} from './rollout-view.js';
import {InFlightByVersion} from './in-flight-by-version.js';

/** Number of ready instances of a service by version name. */
export type ReadyVersions = ReadonlyMap<string, number>;

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
  /** Version that gets the calls not sent to a rollout's target version, by service. */
  readonly #stable = new Map<string, string>();
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
    const run = new RolloutRun(record, this.bounds, this.#options.clock.now());
    this.#runs.set(order.service, run);
    log('Rollout order received.', {...order, revision});
    void this.#recorder.read(run);
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
    const stable = this.#stableVersion(service, versions, run);
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

  /** Version for calls not sent to the rollout's target; null if none is ready. */
  #stableVersion(
    service: string,
    versions: ReadyVersions,
    run: RolloutRun | undefined,
  ): string | null {
    const isDone = run?.state === ROLLOUT_STATES.done;
    if (isDone) this.#stable.set(service, run.target);
    const stable = this.#stable.get(service);
    if (stable !== undefined && versions.has(stable)) return stable;
    const others = [...versions].filter(
      ([version]) => isDone || version !== run?.target,
    );
    const [best] = others.sort(([, a], [, b]) => b - a);
    if (!best) return null;
    if (stable === undefined) this.#stable.set(service, best[0]);
    return best[0];
  }

  #onEvidence(
    from: string,
    {service, revision, report}: EvidenceMessage,
  ): void {
    const run = this.#runs.get(service);
    if (run?.orderRecord.revision !== revision) return;
    run.onReport(from, report, this.#options.clock.now());
  }

  #onStage(from: string, stage: StageMessage): void {
    const run = this.#runs.get(stage.service);
    if (run?.orderRecord.revision !== stage.revision) return;
    if (!run.onStage(from, stage, this.#options.clock.now())) return;
    log('Rollout has ended.', {...stage, from});
  }

  #tick(now: number): void {
    this.#ticks++;
    const live = this.#options.membership
      .live()
      .map(({nodeId, address}) => ({nodeId, address}))
      .sort((a, b) => (a.nodeId < b.nodeId ? -1 : 1));
    const own = this.#options.membership.own.nodeId;
    const rank = live.findIndex(({nodeId}) => nodeId === own);
    for (const run of this.#runs.values()) {
      if (run.isRunning) this.#report(run, live, now);
      if (rank >= 0 && rank < coordinatorCount)
        this.#coordinate(run, live, rank, now);
    }
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
      revision: run.orderRecord.revision,
      report,
    };
    for (const {nodeId, address} of live.slice(0, coordinatorCount)) {
      if (nodeId === membership.own.nodeId) run.onReport(nodeId, report, now);
      else bus.notify(address, EVIDENCE_NOTICE, message);
    }
  }

  #coordinate(
    run: RolloutRun,
    live: readonly Peer[],
    rank: number,
    now: number,
  ): void {
    if (run.isRunning) this.#decide(run, live, rank, now);
    const mayWrite = this.#ticks % backupWriteTicks === 0 || rank === 0;
    if (mayWrite && run.recorded !== run.state) void this.#recorder.write(run);
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
    const {service, durationMs} = run.orderRecord.order;
    const progress: RolloutProgress = {
      elapsedMs: run.elapsedMs(now),
      durationMs,
      sentFresh: total.sentFresh,
      sent: total.sent,
      answeredFresh: sumAnswered(total.routes.values()),
      isReady: membership.versions(service, new Set()).has(run.target),
    };
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
    const stage: StageMessage = {
      service: run.orderRecord.order.service,
      revision: run.orderRecord.revision,
      state: run.state,
      share,
      elapsedMs: Math.max(0, run.elapsedMs(now)),
    };
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

function sumAnswered(
  routes: Iterable<{readonly fresh: {readonly answered: number}}>,
): number {
  let sum = 0;
  for (const {fresh} of routes) sum += fresh.answered;
  return sum;
}
