import type {RandomSource} from '@verbenabeam/core';
import {CALL_OUTCOMES, warmUpMs} from '../call-outcome.js';
import type {CallOutcomeKind} from '../call-outcome.js';
import {exponential, normal} from './random-draws.js';
import type {TrialConfig} from './trial-config.js';

/** Routes of the simulated service. @internal */
export const TRIAL_ROUTES = [
  {name: 'files', weight: 0.45, medianMs: 20, sigma: 0.5},
  {name: 'search', weight: 0.3, medianMs: 40, sigma: 0.5},
  {name: 'export', weight: 0.15, medianMs: 120, sigma: 0.7},
  {name: 'audit', weight: 0.1, medianMs: 10, sigma: 0.4},
] as const;

/** An upstream process. Times in milliseconds. */
export interface FakeInstance {
  readonly isNew: boolean;
  /** Latency factor of the machine; machines differ by about 10%. */
  readonly speed: number;
  readySince: number;
  deaths: number;
  /** Calls that may be in flight, for crashes. */
  running: FakeCall[];
}

/** A call in flight. */
export interface FakeCall {
  kind: CallOutcomeKind;
  latencyMs: number;
  endAt: number;
  crashId?: string;
  readonly cold: boolean;
}

const instancesPerVersion = 4;
const failureRate = 0.005;
/** Fraction of the calls above which a fault under load appears. */
const loadPart = 0.1;
/** Length of the load window for faults under load, in seconds. */
const loadSeconds = 10;
/**
 * Over 1 s, a tenth of 20 calls/s is 2 calls, so the fault appears in single
 * seconds while the share is still 1%.
 */
const peakLoadSeconds = 1;
/**
 * Fraction of the calls over {@link loadSeconds} that counts as near the full
 * share.
 */
const nearFullPart = 0.8;
/**
 * Seconds without a call to the old version after which the share counts as
 * full. At 20 calls/s and a share of 90%, 1 in 38,000 such windows has no such
 * call.
 */
const fullSeconds = 5;
/** Time for which the whole service is slower after the full share begins. */
const slowerMs = 60_000;
const slowerFactor = 2;
const restartMs = 3_000;
const timeoutMs = 5_000;
/** A cold instance takes up to 4 times as long. */
const coldExtra = 3;
const coldDecayMs = 15_000;

/** Upstream instances of both versions with their faults. @internal */
export class UpstreamFleet {
  /** First time at which the fault appeared; infinite before. */
  onsetAt = Infinity;
  readonly instances: readonly FakeInstance[];
  readonly #config: TrialConfig;
  readonly #rng: RandomSource;
  readonly #badRoute: number;
  readonly #laterAt: number;
  /** Calls to the new version in each second of the load window. */
  #newCalls: number[] = [];
  /** Calls to the old version in each second of the load window. */
  #oldCalls: number[] = [];
  #noise = 0;
  #burstUntil = 0;
  #fullAt: number | null = null;

  constructor(config: TrialConfig, rng: RandomSource) {
    this.#config = config;
    this.#rng = rng;
    this.#badRoute = rng.below(TRIAL_ROUTES.length);
    // The onset is between 30 s and half of the time to the deadline.
    const earliest = 30_000;
    this.#laterAt = earliest + rng.float() * (config.deadlineMs / 2 - earliest);
    const slowStart = config.good === 'slowStart';
    this.instances = Array.from({length: 2 * instancesPerVersion}, (_, i) => {
      const isNew = i >= instancesPerVersion;
      // In slow-start trials the new instances become ready one after another.
      const nth = i - instancesPerVersion;
      const readySince = slowStart && isNew ? nth * 60_000 : 0;
      const speed = Math.exp(0.1 * normal(rng));
      return {
        isNew,
        speed,
        readySince: isNew ? readySince : -1e9,
        deaths: 0,
        running: [],
      };
    });
  }

  /** Starts a new second of the load windows and the noise. */
  startSecond(now: number): void {
    this.#newCalls.unshift(0);
    this.#newCalls.length = Math.min(this.#newCalls.length, loadSeconds + 1);
    this.#oldCalls.unshift(0);
    this.#oldCalls.length = this.#newCalls.length;
    if (this.#isFull()) this.#fullAt ??= now;
    if (this.#config.good !== 'noisy') return;
    // Noise of the whole service, for example of a shared database.
    this.#noise = 0.9 * this.#noise + 0.2 * normal(this.#rng);
    if (this.#rng.float() < 0.01) this.#burstUntil = now + 5_000;
  }

  ready(isNew: boolean, now: number): FakeInstance[] {
    return this.instances.filter(i => i.isNew === isNew && i.readySince <= now);
  }

  /** Runs a call on an instance. */
  run(instance: FakeInstance, route: number, now: number): FakeCall {
    const {effect, size} = this.#config.fault ?? {effect: null, size: 0};
    const counts = instance.isNew ? this.#newCalls : this.#oldCalls;
    counts[0] = (counts[0] ?? 0) + 1;
    const faulty = instance.isNew && this.#isFaulty(route, now);
    const cold = now - instance.readySince < warmUpMs;
    const failed =
      this.#rng.float() < this.#failureRate(now) ||
      (faulty && effect === 'errors' && this.#rng.float() < size);
    const slowdown = faulty && effect === 'slowness' ? size : 1;
    const latencyMs = this.#latency(instance, route, now) * slowdown;
    const late = latencyMs > timeoutMs;
    const call: FakeCall = {
      kind: failed || late ? CALL_OUTCOMES.failed : CALL_OUTCOMES.ok,
      latencyMs: Math.min(latencyMs, timeoutMs),
      endAt: now + Math.min(latencyMs, timeoutMs),
      cold: cold && this.#config.mechanisms.coldFilter,
    };
    instance.running = instance.running.filter(c => c.endAt > now);
    instance.running.push(call);
    if (faulty && effect === 'crashes' && this.#rng.float() < size) {
      this.crash(instance, now);
    }
    return call;
  }

  /** Crashes the process and all its calls in flight. */
  crash(instance: FakeInstance, now: number): void {
    instance.deaths += 1;
    instance.readySince = now + restartMs;
    const nth = this.instances.indexOf(instance);
    for (const call of instance.running) {
      if (call.endAt <= now) continue;
      call.kind = CALL_OUTCOMES.crashed;
      call.crashId = `${String(nth)}.${String(instance.deaths)}`;
    }
    instance.running = [];
  }

  #isFaulty(route: number, now: number): boolean {
    const kind = this.#config.fault?.kind;
    if (!kind) return false;
    const holds = {
      atOnce: () => true,
      later: () => now >= this.#laterAt,
      underLoad: () => this.#isLoaded(loadSeconds, loadPart),
      underPeakLoad: () => this.#isLoaded(peakLoadSeconds, loadPart),
      nearFullShare: () => this.#isLoaded(loadSeconds, nearFullPart),
      fromFullShare: () => this.onsetAt < now || this.#isFull(),
      onlyFullShare: () => this.#isFull(),
      oneRoute: () => route === this.#badRoute,
    }[kind]();
    if (holds) this.onsetAt = Math.min(this.onsetAt, now);
    return holds;
  }

  /** True when the new version got over `part` of the calls in the window. */
  #isLoaded(seconds: number, part: number): boolean {
    const window = this.#newCalls.slice(1, seconds + 1);
    const calls = window.reduce((sum, n) => sum + n, 0);
    return calls / seconds > part * this.#config.callsPerSecond;
  }

  /** True when the new version got all calls of the last seconds. */
  #isFull(): boolean {
    const sum = (calls: readonly number[]) =>
      calls.slice(1, fullSeconds + 1).reduce((total, n) => total + n, 0);
    return sum(this.#newCalls) > 0 && sum(this.#oldCalls) === 0;
  }

  #failureRate(now: number): number {
    if (this.#config.good !== 'noisy') return failureRate;
    return now < this.#burstUntil ? 0.3 : 0.03;
  }

  #latency(instance: FakeInstance, route: number, now: number): number {
    const {medianMs, sigma} = TRIAL_ROUTES[route] ?? TRIAL_ROUTES[0];
    const spread = this.#config.good === 'noisy' ? 1.5 * sigma : sigma;
    const age = now - instance.readySince;
    const coldFactor = 1 + coldExtra * Math.exp(-age / coldDecayMs);
    const noise = Math.exp(spread * normal(this.#rng) + this.#noise);
    const slower = this.#isServiceSlower(now) ? slowerFactor : 1;
    return medianMs * instance.speed * coldFactor * noise * slower;
  }

  #isServiceSlower(now: number): boolean {
    if (this.#config.good !== 'slowerService') return false;
    return this.#fullAt !== null && now < this.#fullAt + slowerMs;
  }
}

/** Time to the next arrival at a rate in calls per second. @internal */
export function nextGapMs(rng: RandomSource, callsPerSecond: number): number {
  return (exponential(rng) * 1000) / callsPerSecond;
}
