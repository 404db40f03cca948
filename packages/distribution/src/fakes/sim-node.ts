import {Result} from 'true-myth';
import {Invariants, seededRandom} from '@verbenabeam/core';
import type {RandomSource, ResultCode} from '@verbenabeam/core';
import {Acceptance} from '../acceptance.js';
import {CompileAhead} from '../compile-ahead.js';
import {DistributionDriver} from '../distribution-driver.js';
import {Distributor} from '../distributor.js';
import {FullTextCap} from '../full-text-cap.js';
import {PushPlanner} from '../push-planner.js';
import type {PushMember} from '../push-planner.js';
import {RelayDriver} from '../relay-driver.js';
import {RelayPolicy} from '../relay-policy.js';
import {VersionTracker} from '../version-tracker.js';
import type {SimLink} from './sim-link.js';
import type {SimScheduler} from './sim-scheduler.js';
import type {SimStore} from './sim-store.js';
import type {Store} from '@verbenabeam/store';
import {gatedStore} from './gated-store.js';

/** Parts that all nodes of a run share. @internal */
export interface SimWorld {
  readonly environment: string;
  readonly scheduler: SimScheduler;
  readonly store: SimStore;
  readonly link: SimLink;
  readonly random: RandomSource;
  readonly nodes: () => readonly SimNode[];
  readonly onBroken: (code: ResultCode) => void;
}

/** A small fanout gives trees with inner nodes in a small fleet. */
const fanout = 2;
const tickMs = 500;
const gossipMs = 1_000;
/** Lets messages arrive between the turns of a compilation. */
const turnMs = 20;
const maxSeed = 2 ** 31;

/** One process of a node; a restart makes a new one. @internal */
export class SimProcess {
  readonly tracker: VersionTracker;
  readonly distributor: Distributor;
  readonly driver: DistributionDriver;
  readonly relay: RelayDriver;
  readonly acceptance: Acceptance;
  /** Version of the last observation, for the checks of the run. */
  observedVersion = 0;
  /** Outages of the store before this process started; null within one. */
  readonly outagesBefore: number | null;
  #isKilled = false;

  constructor(world: SimWorld, node: SimNode) {
    const {environment, scheduler, link} = world;
    const {nodeId, dataCentre} = node;
    const random = seededRandom(world.random.below(maxSeed));
    this.outagesBefore = world.store.outages;
    const gated = gatedStore(world.store, () => node.whenRunning());
    const store: Store = {
      ...gated,
      revoke: lease =>
        this.#isKilled
          ? Promise.resolve(Result.ok(false))
          : gated.revoke(lease),
    };
    const invariants = new Invariants(false);
    invariants.onBroken(code => world.onBroken(code));
    const members = () => world.nodes().map(row => row.member);
    const self = {nodeId, dataCentre, environment};
    const pause = () => scheduler.wait(turnMs);
    const ahead = new CompileAhead({minCharacters: 0, pause});
    this.tracker = new VersionTracker(environment, invariants, ahead.compile);
    this.distributor = new Distributor({
      tracker: this.tracker,
      planner: new PushPlanner({self, members, fanout}),
      cap: new FullTextCap({maxAtOnce: 1}),
      random,
    });
    this.relay = new RelayDriver({
      policy: new RelayPolicy(random),
      store,
      clock: scheduler,
      environment,
      dataCentre,
      address: nodeId,
      countRelays: () =>
        members().filter(row => row.relay && row.dataCentre === dataCentre)
          .length,
      onHead: entry => this.driver.handleHead(entry),
    });
    const peer = (id: string) => world.nodes().find(n => n.nodeId === id);
    this.driver = new DistributionDriver({
      environment,
      distributor: this.distributor,
      store,
      clock: scheduler,
      ahead,
      isRelay: () => this.relay.isRelay,
      sender: {
        push: (to, message) =>
          link.send(nodeId, to, () =>
            peer(to)?.receive(p => void p.driver.handlePush(nodeId, message)),
          ),
        pull: (to, message) =>
          link.request(nodeId, to, respond =>
            peer(to)?.receive(p => respond(p.driver.handlePull(message))),
          ),
        askDigest: (to, message) =>
          link.request(nodeId, to, respond =>
            peer(to)?.receive(p =>
              respond(p.driver.handleDigest(nodeId, message)),
            ),
          ),
      },
    });
    this.acceptance = new Acceptance({
      store,
      clock: scheduler,
      fleet: () => this.distributor.fleetView ?? 'unknown',
      sleep: ms => scheduler.wait(ms),
      pause: () => Promise.resolve(),
    });
  }

  /** Ends the process without a planned stop: its lease runs on. */
  kill(): void {
    this.#isKilled = true;
    void this.relay.stop();
  }
}

/** A node that can be paused and restarted empty. @internal */
export class SimNode {
  readonly nodeId: string;
  readonly dataCentre: string;
  /** Highest version that any process of this node served. */
  servedVersion = 0;
  readonly #world: SimWorld;
  #process: SimProcess;
  #isPaused = false;
  #waiting: (() => void)[] = [];

  constructor(world: SimWorld, nodeId: string, dataCentre: string) {
    this.#world = world;
    this.nodeId = nodeId;
    this.dataCentre = dataCentre;
    this.#process = new SimProcess(world, this);
    this.#schedule(tickMs, () => this.#tick());
    this.#schedule(gossipMs, () => this.#gossip());
  }

  get process(): SimProcess {
    return this.#process;
  }

  get member(): PushMember {
    const {nodeId, dataCentre} = this;
    const {environment} = this.#world;
    const relay = this.#process.relay.isRelay;
    return {nodeId, dataCentre, environment, relay, state: 'alive'};
  }

  restart(): void {
    this.#process.kill();
    this.#process = new SimProcess(this.#world, this);
    this.setPaused(false);
  }

  setPaused(isPaused: boolean): void {
    this.#isPaused = isPaused;
    if (isPaused) return;
    const waiting = this.#waiting;
    this.#waiting = [];
    for (const resume of waiting) resume();
  }

  /** Handles a message, after the pause if there is one. */
  receive(handle: (process: SimProcess) => void): void {
    if (this.#isPaused) this.#waiting.push(() => handle(this.#process));
    else handle(this.#process);
  }

  whenRunning(): Promise<void> {
    if (!this.#isPaused) return Promise.resolve();
    return new Promise(resolve => {
      this.#waiting.push(resolve);
    });
  }

  #tick(): void {
    this.#process.driver.tick();
    void this.#process.relay.tick();
  }

  /** Stands for the digest on a probe and on its response. */
  #gossip(): void {
    const {link, random, nodes} = this.#world;
    const {nodeId} = this;
    const others = nodes().filter(node => node !== this);
    const peer = random.pick(others);
    const {digest} = this.#process.distributor;
    link.send(nodeId, peer.nodeId, () =>
      peer.receive(process => {
        const answer = process.driver.handleDigest(nodeId, digest);
        if (answer.isErr) return;
        link.send(peer.nodeId, nodeId, () =>
          this.receive(
            p => void p.driver.handleDigest(peer.nodeId, answer.value),
          ),
        );
      }),
    );
  }

  #schedule(periodMs: number, run: () => void): void {
    const {scheduler, random} = this.#world;
    const again = () => {
      if (!this.#isPaused) run();
      scheduler.after(periodMs, again);
    };
    scheduler.after(random.float() * periodMs, again);
  }
}
