import {logger} from '@verbenabeam/core';
import type {Clock, RandomSource} from '@verbenabeam/core';
import {analyzeRollout, mayFinish, plannedShare} from '@verbenabeam/moves';
import type {RolloutBounds, RolloutProgress} from '@verbenabeam/moves';
import type {Store} from '@verbenabeam/store';
import type {PeerBus} from '@verbenabeam/wire';
import type {CallRecord} from '../calls/index.js';
import {every} from '../every.js';
import type {MembershipService} from '../membership/membership-service.js';
import {ROLLOUT_STATES} from './operator-documents.js';
import type {OperatorFormat} from './operator-documents.js';
import type {KnownOrder} from './operator-records.js';
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
import {VersionsInFlight} from './versions-in-flight.js';

/** Version names of the ready instances of a service, with their number. */
export type ReadyVersions = ReadonlyMap<string, number>;

/** Parts of {@link Rollouts}. @internal */
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
/** Judges of a rollout; more than one, because nodes end at any time. */
const judges = 3;
/** A judge of this rank records a result after that many ticks. */
const ticksPerRank = 3;
const badOutcomes: ReadonlySet<string> = new Set(['failed', 'lost', 'timeout']);
const countedOutcomes: ReadonlySet<string> = new Set(['ok', ...badOutcomes]);
const log = logger('rollout');

/**
 * Moves the traffic of services to other upstream versions by the operators'
 * orders. Each node gives the new version its share and reports what it saw to
 * a few judges; they take the version back, or raise the share, and record the
 * result in the store.
 *
 * @internal
 */
export class Rollouts {
  /** Bounds of the platform; a reload may change them. */
  bounds: RolloutBounds;
  readonly #options: RolloutsOptions;
  readonly #recorder: RolloutRecorder;
  readonly #runs = new Map<string, RolloutRun>();
  /** The version that a service uses outside a rollout. */
  readonly #usual = new Map<string, string>();
  readonly #inFlight = new VersionsInFlight();
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
      else log('Malformed evidence dropped.', {from: peer.nodeId});
    });
    bus.onNotice(STAGE_NOTICE, (body, peer) => {
      const parsed = stageSchema.safeParse(body);
      if (parsed.success) this.#onStage(peer.nodeId, parsed.data);
      else log('Malformed stage dropped.', {from: peer.nodeId});
    });
    every(tickMs, signal, () => this.#tick(clock.now()));
  }

  /** Takes an operator's order. */
  onOrder(known: KnownOrder): void {
    const {order, revision} = known;
    const before = this.#runs.get(order.service);
    if (before && before.known.revision >= revision) return;
    const run = new RolloutRun(known, this.bounds, this.#options.clock.now());
    this.#runs.set(order.service, run);
    log('Order taken.', {...order, revision});
    void this.#recorder.read(run);
  }

  /** The running rollouts, for the metrics. */
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
    const usual = this.#usualOf(service, versions, run);
    if (!run || !versions.has(run.target)) return usual;
    if (run.state === ROLLOUT_STATES.done) return run.target;
    if (run.state === ROLLOUT_STATES.rolledBack) return usual;
    const share = run.share(this.#options.clock.now());
    if (usual === null) return run.target;
    if (share < 1 && isRetry) return usual;
    return this.#options.random.float() < share ? run.target : usual;
  }

  onSent(service: string, version: string): void {
    this.#inFlight.began(service, version);
    const run = this.#runs.get(service);
    if (!run?.isRunning) return;
    run.evidence.sent++;
    if (version === run.target) run.evidence.sentFresh++;
  }

  /** Takes the outcomes of a finished call. */
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

  isStopped(service: string, version: string): boolean {
    const run = this.#runs.get(service);
    if (run?.state !== ROLLOUT_STATES.rolledBack) return false;
    return run.target === version;
  }

  /** The version outside the rollout; null if none of its instances is ready. */
  #usualOf(
    service: string,
    versions: ReadyVersions,
    run: RolloutRun | undefined,
  ): string | null {
    const isDone = run?.state === ROLLOUT_STATES.done;
    if (isDone) this.#usual.set(service, run.target);
    const usual = this.#usual.get(service);
    if (usual !== undefined && versions.has(usual)) return usual;
    const others = [...versions].filter(
      ([version]) => isDone || version !== run?.target,
    );
    const [best] = others.sort(([, a], [, b]) => b - a);
    if (!best) return null;
    if (usual === undefined) this.#usual.set(service, best[0]);
    return best[0];
  }

  #onEvidence(
    from: string,
    {service, revision, report}: EvidenceMessage,
  ): void {
    const run = this.#runs.get(service);
    if (run?.known.revision !== revision) return;
    run.onReport(from, report, this.#options.clock.now());
  }

  #onStage(from: string, stage: StageMessage): void {
    const run = this.#runs.get(stage.service);
    if (run?.known.revision !== stage.revision) return;
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
      if (rank >= 0 && rank < judges) this.#judge(run, live, rank, now);
    }
  }

  #report(run: RolloutRun, live: readonly Peer[], now: number): void {
    const {service} = run.known.order;
    const usual = this.#usual.get(service);
    run.evidence.oldInFlight =
      usual === undefined || usual === run.target
        ? 0
        : this.#inFlight.count(service, usual);
    const share = run.share(now);
    if (share !== run.reportedShare) {
      log('Share has changed.', {service, share, judges: run.given(now)});
      run.reportedShare = share;
    }
    const report = run.evidence.report(share);
    const {bus, membership} = this.#options;
    const message: EvidenceMessage = {
      service,
      revision: run.known.revision,
      report,
    };
    for (const {nodeId, address} of live.slice(0, judges)) {
      if (nodeId === membership.own.nodeId) run.onReport(nodeId, report, now);
      else bus.notify(address, EVIDENCE_NOTICE, message);
    }
  }

  #judge(
    run: RolloutRun,
    live: readonly Peer[],
    rank: number,
    now: number,
  ): void {
    if (run.isRunning) this.#decide(run, live, rank, now);
    const isTurn = this.#ticks % ticksPerRank === 0 || rank === 0;
    if (isTurn && run.recorded !== run.state) void this.#recorder.write(run);
  }

  #decide(
    run: RolloutRun,
    live: readonly Peer[],
    rank: number,
    now: number,
  ): void {
    const total = run.total();
    const finding = analyzeRollout(total);
    const {bounds} = this;
    const {membership} = this.#options;
    const {service, durationMs} = run.known.order;
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
      log('Version is taken back.', {service, target: run.target, ...finding});
      run.state = ROLLOUT_STATES.rolledBack;
    } else if (rank === 0 && share === 1 && mayFinish(bounds, progress)) {
      const nodeIds = live.map(({nodeId}) => nodeId);
      const waitsFor = run.notMoved(nodeIds, now);
      if (waitsFor.length === 0) {
        log('Version has all traffic.', {service, ...progress});
        run.state = ROLLOUT_STATES.done;
      } else {
        log('Rollout waits for nodes.', {service, waitsFor});
      }
    }
    this.#spread(run, live, share, now);
  }

  #spread(
    run: RolloutRun,
    live: readonly Peer[],
    share: number,
    now: number,
  ): void {
    const {bus, membership} = this.#options;
    const stage: StageMessage = {
      service: run.known.order.service,
      revision: run.known.revision,
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
