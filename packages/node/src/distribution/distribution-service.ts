import {logger} from '@verbenabeam/core';
import type {MeshError} from '@verbenabeam/core';
import {
  Acceptance,
  CompileAhead,
  CONFIG_PULL,
  CONFIG_PUSH,
  DistributionDriver,
  Distributor,
  FullTextCap,
  PushPlanner,
  RelayDriver,
  RelayPolicy,
  VersionTracker,
} from '@verbenabeam/distribution';
import type {
  Accepted,
  DistributionSender,
  Promotion,
  Submission,
} from '@verbenabeam/distribution';
import type {Snapshot} from '@verbenabeam/document';
import type {InstanceRecord} from '@verbenabeam/membership';
import {systemSleep} from '@verbenabeam/store';
import type {WatchEvent} from '@verbenabeam/store';
import {Result} from 'true-myth';
import {runPeriodically} from '../run-periodically.js';
import type {NodeContext} from '../node-context.js';
import {unknownPeerError} from '../unknown-peer-error.js';

const digestKind = 'config.digest';
const tickMs = 500;
const peerTimeoutMs = 2_000;
/**
 * Mean time that a relay waits for a push before it reads a version from the
 * store.
 */
const relayPushWaitMs = 300;
const log = logger('distribution');

/** Options of {@link DistributionService}. @internal */
export interface DistributionServiceOptions extends NodeContext {
  readonly onApplied: (snapshot: Snapshot) => void;
  /** Move records to include in a push. */
  readonly moves: () => readonly unknown[];
  readonly onMoves: (moves: readonly unknown[]) => void;
  readonly onMoveEvent: (event: WatchEvent) => void;
}

/** Distributes and accepts configuration versions on one node. @internal */
export class DistributionService {
  readonly tracker: VersionTracker;
  readonly distributor: Distributor;
  readonly acceptance: Acceptance;
  readonly #options: DistributionServiceOptions;
  readonly #driver: DistributionDriver;
  readonly #relay: RelayDriver;

  constructor(options: DistributionServiceOptions) {
    this.#options = options;
    const {store, clock, random, membership} = options;
    const {own} = membership;
    const {environment} = own;
    const ahead = new CompileAhead();
    this.tracker = new VersionTracker(
      environment,
      options.invariants,
      ahead.compile,
    );
    this.distributor = new Distributor({
      tracker: this.tracker,
      planner: new PushPlanner({
        self: own,
        members: () => membership.live(),
        moves: options.moves,
      }),
      cap: new FullTextCap(),
      random,
    });
    this.#driver = new DistributionDriver({
      environment,
      distributor: this.distributor,
      sender: this.#sender(),
      store,
      clock,
      ahead,
      isRelay: () => this.isRelay,
      beforeRelayRead: () =>
        systemSleep(relayPushWaitMs * (0.5 + random.float())),
      onApplied: snapshot => this.#onApplied(snapshot),
      onMoves: options.onMoves,
    });
    this.#relay = new RelayDriver({
      policy: new RelayPolicy(random),
      store,
      clock,
      environment,
      dataCentre: own.dataCentre,
      address: own.address,
      countRelays: () => this.#countRelays(own),
      onHead: entry => this.#driver.handleHead(entry),
      onMove: options.onMoveEvent,
    });
    this.acceptance = new Acceptance({
      store,
      clock,
      active: name => (name === environment ? this.tracker.current : null),
      fleet: name =>
        name === environment ? (this.distributor.fleetView ?? 'unknown') : null,
    });
  }

  get isRelay(): boolean {
    return this.#relay.isRelay;
  }

  /** The active configuration; null until the node may serve calls. */
  current(): Snapshot | null {
    return this.distributor.ready ? this.tracker.current : null;
  }

  start(): void {
    const {bus, signal, membership} = this.#options;
    bus.onNotice(CONFIG_PUSH, (body, peer) => {
      this.#logRefusal(this.#driver.handlePush(peer.nodeId, body));
    });
    bus.onRequest(CONFIG_PULL, body => this.#driver.handlePull(body));
    bus.onRequest(digestKind, (body, peer) =>
      this.#driver.handleDigest(peer.nodeId, body),
    );
    membership.gossip.onPeerConfig(({nodeId}, {version, hash}) => {
      const environment = membership.gossip.table.get(nodeId)?.environment;
      if (environment === undefined) return;
      this.#driver.handleDigest(nodeId, {environment, version, hash});
    });
    runPeriodically(tickMs, signal, () => this.#tick());
  }

  /** Accepts a document as a new version and distributes it. */
  async submit(submission: Submission): Promise<Result<Accepted, MeshError>> {
    return this.#distribute(await this.acceptance.submit(submission));
  }

  /** Accepts a version of another environment and distributes it. */
  async promote(promotion: Promotion): Promise<Result<Accepted, MeshError>> {
    return this.#distribute(await this.acceptance.promote(promotion));
  }

  /**
   * Writes the active version to a restored store as a version above its newest
   * one, and distributes it.
   */
  async reassert(
    active: Snapshot,
    operator: Pick<Submission, 'author' | 'operationId'>,
  ): Promise<Result<Accepted, MeshError>> {
    return this.#distribute(await this.acceptance.reassert(active, operator));
  }

  /** Ends the relay role and begins to release its lease. */
  async stop(): Promise<void> {
    await this.#relay.stop();
  }

  #distribute(
    accepted: Result<Accepted, MeshError>,
  ): Result<Accepted, MeshError> {
    const environment = this.#options.membership.own.environment;
    if (accepted.isErr) return accepted;
    if (accepted.value.snapshot.environment !== environment) return accepted;
    return this.#driver
      .handleAccepted(accepted.value)
      .map(() => accepted.value);
  }

  #tick(): void {
    this.#driver.tick();
    void this.#relay.tick();
    this.#options.membership.setRelay(this.isRelay);
  }

  #onApplied(snapshot: Snapshot): void {
    const {version, hash} = snapshot;
    log('Version is active.', {version, hash});
    this.#options.membership.gossip.setConfig(version, hash);
    this.#options.onApplied(snapshot);
  }

  #countRelays(own: InstanceRecord): number {
    return this.#options.membership
      .live()
      .filter(
        row =>
          row.relay &&
          row.dataCentre === own.dataCentre &&
          row.environment === own.environment,
      ).length;
  }

  #sender(): DistributionSender {
    const {bus, membership} = this.#options;
    const request = (
      to: string,
      kind: string,
      body: unknown,
    ): Promise<Result<unknown, MeshError>> => {
      const address = membership.addressOf(to);
      if (address === undefined) {
        return Promise.resolve(Result.err(unknownPeerError(to)));
      }
      return bus.request(address, kind, body, {timeoutMs: peerTimeoutMs});
    };
    return {
      push: (to, message) => {
        const address = membership.addressOf(to);
        if (address !== undefined) bus.notify(address, CONFIG_PUSH, message);
      },
      pull: (to, message) => request(to, CONFIG_PULL, message),
      askDigest: (to, message) => request(to, digestKind, message),
    };
  }

  #logRefusal(handled: Result<true, MeshError>): void {
    if (handled.isErr) log('Push refused.', {code: handled.error.code.code});
  }
}
