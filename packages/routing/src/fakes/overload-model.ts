import {seededRandom} from '@verbenabeam/core';
import {Admission} from '../admission.js';
import type {AdmissionDecision} from '../admission-types.js';
import {Deadline} from '../deadline.js';
import {exponential} from './pool-model.js';
import {Timeline} from './timeline.js';

/** Settings of a simulated server with Poisson arrivals. */
export interface OverloadSetup {
  readonly seed: number;
  /** Arrival rate as a multiple of the capacity. */
  readonly load: number;
  readonly announcedSlots: number;
  /**
   * Calls that the server runs concurrently without contention. With more calls,
   * the service time grows faster than linearly.
   */
  readonly realSlots: number;
  /**
   * Queue before the server: `admission` with the gradient limit, `fixedLimit`
   * without it, or an `unbounded` queue.
   */
  readonly queue: 'admission' | 'fixedLimit' | 'unbounded';
}

const serviceMs = 10;
const deadlineMs = 100;
const durationMs = 20_000;
const warmUpMs = 5000;
/** The load is low at first, as for an instance in slow start. */
const rampMs = 2000;
const rampLoad = 0.4;
/** With 2 times the real slots in use, calls take 2^1.5 times as long. */
const contention = 1.5;
/** Wait in ms, or tolerance factor, that is too large to have an effect. */
const unlimited = 1e9;

/** Returns the calls per millisecond, after the warm-up, that end by their deadline. */
export function goodput(setup: OverloadSetup): number {
  const rng = seededRandom(setup.seed);
  const time = new Timeline();
  const unbounded = setup.queue === 'unbounded';
  const admission = new Admission({
    slots: setup.announcedSlots,
    maxWaitMs: unbounded ? unlimited : undefined,
    gradient: setup.queue === 'admission' ? {} : {tolerance: unlimited},
  });
  const deadlines = new Map<string, number>();
  let good = 0;
  let running = 0;

  const carryOut = (decisions: AdmissionDecision[]) => {
    for (const {kind, callId} of decisions) {
      if (kind === 'admitted') run(callId);
      if (kind === 'refused') deadlines.delete(callId);
    }
  };
  const run = (callId: string) => {
    running++;
    const excess = Math.max(1, running / setup.realSlots);
    time.after(exponential(rng, serviceMs) * excess ** contention, () => {
      running--;
      const inTime = time.now <= (deadlines.get(callId) ?? 0);
      if (inTime && time.now > warmUpMs) good++;
      deadlines.delete(callId);
      carryOut(admission.finish(callId, time.now));
    });
  };

  let calls = 0;
  const ratePerMs = () =>
    ((time.now < rampMs ? rampLoad : setup.load) * setup.realSlots) / serviceMs;
  const arrive = () => {
    const id = String(calls++);
    deadlines.set(id, time.now + deadlineMs);
    const deadline = new Deadline(
      time.now + (unbounded ? unlimited : deadlineMs),
    );
    carryOut([admission.tryAdmit({id, deadline}, time.now)]);
    time.after(exponential(rng, 1 / ratePerMs()), arrive);
  };
  const sweep = () => {
    carryOut(admission.expire(time.now));
    time.after(1, sweep);
  };
  time.after(0, arrive);
  if (!unbounded) time.after(1, sweep);
  time.runUntil(durationMs);
  return good / (durationMs - warmUpMs);
}
