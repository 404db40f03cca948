import {seededRandom} from '@verbenabeam/core';
import type {RandomSource} from '@verbenabeam/core';
import {ROLLOUT_STATES} from '../operator-documents.js';
import type {RolloutOrder} from '../operator-documents.js';
import {DrillLinks} from './drill-bus.js';
import {DrillChecks} from './drill-checks.js';
import type {Seat} from './drill-checks.js';
import {DRILL_KEYS, DrillNode} from './drill-node.js';
import {DrillStore} from './drill-store.js';
import {VirtualTime} from './virtual-time.js';

const centres = ['a', 'b'] as const;
const nodesPerCentre = 3;
const startMs = 6_000;
const minStepMs = 20;
const maxStepMs = 300;
/** Steps between two times at which all faults end and the checks are made. */
const settleEvery = 50;
/** Cut nodes are known again and outages are over within this time. */
const healMs = 5_000;
/** A configuration is in force everywhere within this time. */
const inForceMs = 2_000;
const orderMs = 5_000;
/** An order is answered within this time. */
const answeredMs = 9_000;
const maxCopyAgeMs = 6_000;
const maxAwayMs = 800;
/** Longest time until the operator writes again what a drill lost. */
const maxRewriteMs = 2_000;
const maxFreezeMs = 3_000;
const restartMs = 150;
const badShare = 0.4;

type Step = (run: DrillRun) => void;

/** Kinds of steps; some are listed more often than others. */
const steps: readonly (readonly [string, Step])[] = [
  ['configure', run => run.configure()],
  ['configure', run => run.configure()],
  ['configure', run => run.configure()],
  ['order', run => run.order()],
  ['order', run => run.order()],
  ['drill', run => run.drill()],
  ['two drills', run => run.twoDrills()],
  ['restart', run => run.restart(run.random.pick(run.seats))],
  ['restart all', run => run.restartAll()],
  ['cut off the store', run => run.cutOffStore()],
  ['cut off peers', run => run.cutOffPeers()],
  ['heal', run => run.heal()],
  ['heal', run => run.heal()],
  ['freeze', run => run.freeze()],
  ['late answers', run => run.setLate()],
  ['nothing', () => undefined],
];

/** Random run over a small fleet whose store comes back from copies. */
export class DrillRun {
  readonly time = new VirtualTime();
  readonly random: RandomSource;
  readonly seats: readonly Seat[];
  /** Steps so far, with their times. */
  readonly trace: string[] = [];
  drills = 0;
  readonly #hasDrills: boolean;
  readonly #store: DrillStore;
  readonly #links: DrillLinks;
  #version = 1;
  #order: RolloutOrder | null = null;
  #orderedAt = -Infinity;
  #orders = 0;
  #stable = 'v0';
  readonly #bad = new Set<string>();
  readonly #checks: DrillChecks;

  /** @param hasDrills - Without drills the run shows that its checks hold. */
  constructor(seed: number, hasDrills = true) {
    this.random = seededRandom(seed);
    this.#hasDrills = hasDrills;
    this.#store = new DrillStore(this.time, this.random);
    this.#links = new DrillLinks(this.time);
    this.seats = centres.flatMap((dataCentre, c) =>
      Array.from({length: nodesPerCentre}, (_, i) => ({
        nodeId: `${dataCentre}${i}`,
        dataCentre,
        address: `10.0.${c}.${i + 1}:80`,
        process: null,
        processes: 0,
        version: 0,
        servedBefore: 0,
        startedAt: 0,
        holders: [],
        ended: new Set<string>(),
        running: null,
      })),
    );
    this.#checks = new DrillChecks(this.time, this.#store, this.seats);
  }

  /** Broken promises. */
  get faults(): readonly string[] {
    return this.#checks.faults;
  }

  async run(count: number): Promise<void> {
    this.time.install();
    try {
      this.#writeConfig();
      this.#store.copy();
      for (const seat of this.seats) this.#startProcess(seat);
      await this.#advance(startMs);
      for (let i = 1; i <= count && this.faults.length === 0; i++) {
        const [name, step] = this.random.pick(steps);
        this.trace.push(`${Math.round(this.time.now())} ms: ${name}`);
        step(this);
        this.#store.copy();
        const spread = this.random.float() * (maxStepMs - minStepMs);
        await this.#advance(minStepMs + spread);
        if (this.#links.apart.size > 0) this.#checks.onCut();
        if (i % settleEvery === 0) await this.#settle();
      }
    } finally {
      for (const {process} of this.seats) process?.abort();
      this.time.uninstall();
    }
  }

  configure(): void {
    if (this.#store.isAway) return;
    this.#version++;
    this.#writeConfig();
  }

  order(): void {
    const hasEnded =
      this.#order === null ||
      this.#checks.final.has(this.#order.targetVersion) ||
      this.time.now() - this.#orderedAt > 2 * answeredMs;
    if (!hasEnded || this.#store.isAway) return;
    const former = this.#order?.targetVersion ?? '';
    if (this.#checks.final.get(former) === ROLLOUT_STATES.done)
      this.#stable = former;
    const targetVersion = `v${++this.#orders}`;
    if (this.random.float() < badShare) this.#bad.add(targetVersion);
    this.#order = {service: 'shop', targetVersion, durationMs: orderMs};
    this.#orderedAt = this.time.now();
    this.#checks.newestTarget = targetVersion;
    this.#store.put(DRILL_KEYS.order, JSON.stringify(this.#order));
  }

  drill(): void {
    if (!this.#hasDrills) return;
    this.drills++;
    const ageMs = this.random.float() * maxCopyAgeMs;
    const awayMs = this.random.float() * maxAwayMs;
    this.trace.push(`  age ${Math.round(ageMs)}, away ${Math.round(awayMs)}`);
    this.#store.drill(ageMs, awayMs, () => {
      const ms = this.random.float() * maxRewriteMs;
      this.time.after(ms, () => this.#rewrite(), '');
    });
  }

  twoDrills(): void {
    this.drill();
    this.time.after(
      maxAwayMs + this.random.float() * 200,
      () => this.drill(),
      '',
    );
  }

  restart(seat: Seat): void {
    seat.process?.abort();
    this.#links.close(seat.address);
    seat.process = null;
    const {processes} = seat;
    this.time.after(
      restartMs + this.random.float() * restartMs,
      () => {
        if (seat.processes === processes) this.#startProcess(seat);
      },
      '',
    );
  }

  restartAll(): void {
    for (const seat of this.seats) this.restart(seat);
  }

  cutOffStore(): void {
    const {unreached} = this.#store.faults;
    for (const {nodeId} of this.seats) {
      if (this.random.float() < 0.4) unreached.add(nodeId);
    }
  }

  cutOffPeers(): void {
    const isCentre = this.random.float() < 0.5;
    for (const {nodeId, dataCentre} of this.seats) {
      const isApart = isCentre
        ? dataCentre === centres[0]
        : this.random.float() < 0.3;
      if (isApart) this.#links.apart.add(nodeId);
    }
    this.#checks.onCut();
  }

  heal(): void {
    this.#store.faults.unreached.clear();
    this.#store.faults.lateShare = 0;
    this.#store.faults.lostShare = 0;
    this.#links.apart.clear();
  }

  freeze(): void {
    const {nodeId} = this.random.pick(this.seats);
    this.time.freeze(nodeId, this.random.float() * maxFreezeMs);
  }

  setLate(): void {
    this.#store.faults.lateShare = this.random.float() * 0.5;
    this.#store.faults.lostShare = this.random.float() * 0.3;
  }

  #advance(ms: number): Promise<void> {
    return this.time.advance(ms, () => undefined);
  }

  #writeConfig(): void {
    const text = JSON.stringify({version: this.#version});
    this.#store.put(DRILL_KEYS.config, text);
  }

  /** The operator writes what the store has lost. */
  #rewrite(): void {
    if (this.#store.isAway) return;
    const config = JSON.stringify({version: this.#version});
    if (this.#store.value(DRILL_KEYS.config) !== config) this.#writeConfig();
    if (!this.#order) return;
    const order = JSON.stringify(this.#order);
    if (this.#store.value(DRILL_KEYS.order) === order) return;
    this.#store.put(DRILL_KEYS.order, order);
  }

  #startProcess(seat: Seat): void {
    const {nodeId, address, dataCentre} = seat;
    const memberId = `${nodeId}.${++seat.processes}`;
    this.#checks.onStart(seat);
    this.time.as(nodeId, () => {
      const node = new DrillNode({
        nodeId,
        memberId,
        dataCentre,
        address,
        time: this.time,
        random: this.random,
        store: this.#store.client(nodeId),
        bus: this.#links.bus(nodeId, memberId, address),
        upstreamVersion: () => this.#upstreamVersion(seat),
        isBad: version => this.#bad.has(version),
        // A process that has ended may still take what it was sent.
        onConfig: version => {
          if (memberId === `${nodeId}.${seat.processes}`)
            this.#checks.onConfig(seat, version);
        },
        onTick: () => this.#checks.onTick(seat),
      });
      seat.process = node;
      node.start();
    });
  }

  /** One node of each data centre keeps the version before the rollout. */
  #upstreamVersion({nodeId}: Seat): string {
    const target = this.#order?.targetVersion;
    return target === undefined || nodeId.endsWith('0') ? this.#stable : target;
  }

  /** Ends all faults and checks what the fleet agrees on. */
  async #settle(): Promise<void> {
    this.heal();
    this.time.thawAll();
    await this.#advance(maxAwayMs + maxRewriteMs + healMs);
    this.#rewrite();
    this.configure();
    const version = this.#version;
    await this.#advance(inForceMs);
    this.#checks.checkVersion(version);
    if (!this.#order) return;
    const leftMs = this.#orderedAt + answeredMs - this.time.now();
    await this.#advance(Math.max(0, leftMs));
    this.#checks.checkResult(this.#order.targetVersion);
  }
}
