import {Invariants, seededRandom} from '@verbenabeam/core';
import type {RandomSource} from '@verbenabeam/core';
import {EvidenceAggregator} from '../evidence-tree.js';
import {TrafficSplitter} from '../traffic-splitter.js';
import {localAlphaPart} from '../move-analyzer.js';
import type {MovePlan} from '../move-transitions.js';
import type {MoveRecord} from '../move-record.js';
import type {MoveStop} from '../move-stop.js';
import {capacityShare} from '../capacity-share.js';
import {CrashingCaller} from './crashing-caller.js';
import {weightedIndex} from './random-draws.js';
import {receivedEvidence} from './received-evidence.js';
import type {TrialConfig} from './trial-config.js';
import {TrialControllers} from './trial-controllers.js';
import type {TrialResult} from './trial-result.js';
import {TRIAL_ROUTES, UpstreamFleet, nextGapMs} from './upstream-fleet.js';

const service = 'redelivery';
const secondMs = 1_000;
/** The simulation continues for this time after a decision. */
const afterDecisionMs = 8_000;
/**
 * Longer with two controllers: the second may write after the decision of the
 * first.
 */
const afterDecisionTwoControllersMs = 300_000;
/** Distinct requests per route; shared strings keep their hash. */
const fingerprintsPerRoute = 1_000;
const fingerprints = TRIAL_ROUTES.map(route =>
  Array.from(
    {length: fingerprintsPerRoute},
    (_, i) => `${route.name}.${String(i)}`,
  ),
);
const routeWeights = TRIAL_ROUTES.map(r => r.weight);
const recordPollMs = 5_000;

interface Entry {
  readonly splitter: TrafficSplitter;
  /** Reports to the splitter, by the second in which the call ends. */
  readonly ended: Map<number, (() => void)[]>;
}

interface Message {
  readonly at: number;
  readonly deliver: () => void;
}

/** Simulates one seeded move from its start to its decision. @internal */
export class MoveTrial {
  readonly #config: TrialConfig;
  readonly #rng: RandomSource;
  readonly #fleet: UpstreamFleet;
  readonly #entries: readonly Entry[];
  readonly #controllers: TrialControllers;
  readonly #plan: MovePlan;
  readonly #caller: CrashingCaller | null;
  #messages: Message[] = [];
  #record: MoveRecord | null = null;
  #nextCallAt = 0;
  #callNumber = 0;
  #counts = {allCalls: 0, newCalls: 0, badCalls: 0, callsSinceOnset: 0};
  #stopDecidedAt = Infinity;
  #lateMs = 0;
  readonly #stepTimes: number[] = [];

  constructor(config: TrialConfig) {
    this.#config = config;
    this.#rng = seededRandom(config.seed);
    this.#fleet = new UpstreamFleet(config, this.#rng);
    this.#plan = {
      moveId: 'm1',
      service,
      from: 'v1',
      to: 'v2',
      startAt: null,
      deadlineAt: config.deadlineMs,
      routes: TRIAL_ROUTES.map(r => r.name),
    };
    this.#entries = Array.from({length: config.entryNodes}, (_, i) =>
      this.#newEntry(i),
    );
    this.#controllers = new TrialControllers(config, this.#rng);
    this.#caller =
      config.good === 'crashingRequest' ? new CrashingCaller(this.#rng) : null;
  }

  async run(): Promise<TrialResult> {
    const tailMs = this.#config.twoControllers
      ? afterDecisionTwoControllersMs
      : afterDecisionMs;
    let endAt = this.#config.deadlineMs + tailMs;
    for (let now = 0; now < endAt; now += secondMs) {
      await this.#tick(now);
      this.#fleet.startSecond(now);
      this.#runSecond(now);
      const state = this.#record?.state;
      const decided = state === 'done' || state === 'takenBack';
      if (decided) endAt = Math.min(endAt, this.#decidedAt() + tailMs);
    }
    return {
      record: this.#record as MoveRecord,
      endedAt: this.#decidedAt(),
      onTime:
        this.#record?.state === 'done' &&
        this.#decidedAt() <= this.#config.deadlineMs,
      ...this.#counts,
      onsetAt: this.#fleet.onsetAt,
      stopDecidedAt: this.#stopDecidedAt,
      lateMs: this.#lateMs,
      rewrites: this.#controllers.rewrites(),
      stepTimes: this.#stepTimes,
    };
  }

  async #tick(now: number): Promise<void> {
    for (const entry of this.#entries) this.#flush(entry, now);
    // As in the node, a new controller learns of the stops that nodes know.
    if (this.#config.mechanisms.stopPush) {
      this.#controllers.addStops(this.#entries[0]?.splitter.stops() ?? []);
    }
    const output = await this.#controllers.tick({
      now,
      wallTime: now,
      plans: [this.#plan],
      capacityShare: () => this.#capacity(now),
    });
    for (const stop of output.stops) this.#sendStop(stop, null, now);
    for (const record of output.records) this.#sendRecord(record, now);
  }

  #sendRecord(record: MoveRecord, now: number): void {
    if (record.step < (this.#record?.step ?? 0)) return;
    this.#record = record;
    this.#stepTimes.push(now);
    // A deadline that cannot be met takes a move back without a stop.
    if (record.state === 'takenBack') {
      this.#stopDecidedAt = Math.min(this.#stopDecidedAt, now);
    }
    // Without pushes, a node gets a terminal record with its next poll.
    const polled =
      record.state === 'takenBack' && !this.#config.mechanisms.stopPush;
    for (const {splitter} of this.#entries) {
      const delay = polled ? recordPollMs * this.#rng.float() : this.#pushMs();
      this.#send(now + delay, () => splitter.mergeRecord(record));
    }
  }

  #sendStop(stop: MoveStop, source: Entry | null, now: number): void {
    this.#stopDecidedAt = Math.min(this.#stopDecidedAt, now);
    if (this.#config.mechanisms.stopPush) {
      for (const entry of this.#entries) {
        if (entry === source) continue;
        this.#send(now + this.#pushMs(), () =>
          entry.splitter.mergeStops([stop]),
        );
      }
    }
    if (source === null) return;
    this.#send(now + this.#pushMs(), () => {
      this.#controllers.addStops([stop]);
    });
  }

  #flush(entry: Entry, now: number): void {
    const second = now / secondMs - 1;
    const ended = entry.ended.get(second) ?? [];
    entry.ended.delete(second);
    for (const report of ended) report();
    const {evidence, stops} = entry.splitter.flush(now, now);
    for (const stop of stops) this.#sendStop(stop, entry, now);
    if (evidence.length === 0) return;
    // Evidence takes about 1 s to the root of the tree.
    const delay = 600 + 800 * this.#rng.float();
    const tree = new EvidenceAggregator();
    tree.add(evidence.map(e => receivedEvidence(e, this.#config.mechanisms)));
    this.#send(now + delay, () => {
      this.#controllers.addEvidence(tree.take(), now);
    });
  }

  #runSecond(start: number): void {
    const end = start + secondMs;
    for (;;) {
      const crashingAt = this.#caller?.nextAt ?? Infinity;
      const at = Math.min(this.#nextCallAt, crashingAt);
      this.#deliverUntil(Math.min(at, end));
      if (at >= end) return;
      if (at === crashingAt) this.#sendCrashing(at);
      else this.#sendCall(at);
    }
  }

  #sendCall(now: number): void {
    this.#nextCallAt = now + nextGapMs(this.#rng, this.#config.callsPerSecond);
    const entry = this.#rng.pick(this.#entries);
    const route = weightedIndex(this.#rng, routeWeights);
    const callId = `${String(this.#config.seed)}.${String(this.#callNumber++)}`;
    const fingerprint = this.#rng.pick(fingerprints[route] ?? ['']);
    this.#dispatch({entry, route, callId, fingerprint, now, crashes: false});
  }

  #sendCrashing(now: number): void {
    const caller = this.#caller as CrashingCaller;
    const callId = caller.send(now);
    const entry = this.#rng.pick(this.#entries);
    const fingerprint = 'crashing';
    this.#dispatch({entry, route: 0, callId, fingerprint, now, crashes: true});
  }

  #dispatch(req: {
    entry: Entry;
    route: number;
    callId: string;
    fingerprint: string;
    now: number;
    crashes: boolean;
  }): void {
    const {entry, route, callId, fingerprint, now} = req;
    const isReady = (v: string) =>
      this.#fleet.ready(v === 'v2', now).length > 0;
    const version = entry.splitter.choose(service, callId, 'v1', isReady);
    const isNew = version === 'v2';
    const ready = this.#fleet.ready(isNew, now);
    if (ready.length === 0) return;
    entry.splitter.onSent(service, version);
    this.#count(isNew, now);
    const instance = this.#rng.pick(ready);
    const call = this.#fleet.run(instance, route, now);
    if (req.crashes) this.#fleet.crash(instance, now);
    const second = Math.floor(call.endAt / secondMs);
    const ended = entry.ended.get(second) ?? [];
    entry.ended.set(second, ended);
    const routeName = (TRIAL_ROUTES[route] ?? TRIAL_ROUTES[0]).name;
    const report = () => {
      const {kind, latencyMs, cold, crashId} = call;
      const at = {service, route: routeName, version, fingerprint};
      entry.splitter.record({...at, kind, latencyMs, cold, crashId});
    };
    ended.push(report);
  }

  #count(isNew: boolean, now: number): void {
    if ((this.#record?.step ?? 0) === 0) return;
    if (now <= this.#stopDecidedAt + secondMs) {
      const faulty = now >= this.#fleet.onsetAt || this.#fleet.onsetAt === 0;
      this.#counts.allCalls += 1;
      if (faulty) this.#counts.callsSinceOnset += 1;
      if (isNew) this.#counts.newCalls += 1;
      if (isNew && faulty) this.#counts.badCalls += 1;
    }
    if (isNew && now > this.#stopDecidedAt) {
      this.#lateMs = Math.max(this.#lateMs, now - this.#stopDecidedAt);
    }
  }

  #decidedAt(): number {
    return this.#record?.changedAt ?? Infinity;
  }

  #capacity(now: number): number {
    const slotsPerInstance = 12;
    const newSlots = this.#fleet.ready(true, now).length * slotsPerInstance;
    const oldSlots = this.#fleet.ready(false, now).length * slotsPerInstance;
    const {callsPerSecond} = this.#config;
    const load = {callsPerSecond, serviceMs: 50};
    return capacityShare({oldSlots, newSlots, load});
  }

  /** Time of one push down the tree. */
  #pushMs(): number {
    return 20 + 380 * this.#rng.float();
  }

  #send(at: number, deliver: () => void): void {
    this.#messages.push({at, deliver});
    this.#messages.sort((a, b) => a.at - b.at);
  }

  #deliverUntil(now: number): void {
    while ((this.#messages[0]?.at ?? Infinity) <= now) {
      this.#messages.shift()?.deliver();
    }
  }

  #newEntry(nth: number): Entry {
    const {policy, entryNodes, mechanisms, baseline} = this.#config;
    const alphaPart = localAlphaPart(entryNodes);
    const routes = TRIAL_ROUTES.length;
    const tests = mechanisms.tests && mechanisms.localStop && !baseline;
    const splitter = new TrafficSplitter({
      nodeId: `n${String(nth)}`,
      invariants: new Invariants(true),
      analyzerOptions: () => (tests ? {policy, routes, alphaPart} : null),
    });
    return {splitter, ended: new Map()};
  }
}
