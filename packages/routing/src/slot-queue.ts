import {CALL_CODES} from '@verbenabeam/core';
import type {ResultCode} from '@verbenabeam/core';
import type {
  AdmissionCall,
  AdmissionDecision,
  AdmissionPolicy,
} from './admission-types.js';
import type {LoadReport} from './load-report.js';
import {Smoothed} from './smoothed.js';
import {cancelWaiting, expireWaiting} from './waiting-calls.js';

/** Settings of {@link SlotQueue}. @public */
export interface SlotQueueOptions {
  /** Calls that the upstream announced to run at once. */
  readonly slots: number;
  /** Time of a call before any was measured, in ms; default 50. */
  readonly initialServiceMs?: number;
}

interface Running {
  readonly route: string;
  readonly since: number;
}

const defaultServiceMs = 50;
const serviceSmoothing = 0.1;
/**
 * Share of the mean time in the upstream that a call must have left. Times
 * scatter by about half of their mean, so the mean itself would refuse calls
 * that would have been answered.
 */
const neededShare = 0.7;
/** Share of the mean time in which nearly all calls are answered. */
const onTimeShare = 1.5;
/**
 * Share of the time between target and deadline that a late call still waits.
 * Under overload the slots go to calls that can be on time.
 */
const lateShare = 0.3;
/** Share of their time that calls for running calls may wait. */
const subCallShare = 0.5;
/** A call may wait this long in any case, so that short bursts pass. */
const minQueueMs = 15;
/** A returning caller finds part of the backlog cleared after this time. */
const minRetryAfterMs = 20;
const otherRoute = '';

/**
 * Admission for an upstream with a fixed number of slots, where calls of
 * several ranks meet. Load pattern: more calls than slots for seconds, of which
 * an urgent part must stay on time.
 *
 * Never more calls run than there are slots, because a full upstream resets
 * connections, and a reset call may have run. The most urgent rank goes first,
 * within a rank the calls that upstreams make for running calls, which hold a
 * slot elsewhere and lose their work without the answer; then first come, first
 * served, but calls that can no longer be answered by their target last. What
 * would wait too long is refused at once.
 *
 * @public
 */
export class SlotQueue implements AdmissionPolicy {
  #slots: number;
  readonly #initialMs: number;
  readonly #running = new Map<string, Running>();
  readonly #queue: AdmissionCall[] = [];
  /** Ids of the calls whose bodies arrive. */
  readonly #announced = new Set<string>();
  readonly #serviceMs = new Map<string, Smoothed>();
  readonly #meanMs: Smoothed;
  #draining = false;

  constructor({slots, initialServiceMs}: SlotQueueOptions) {
    this.#slots = slots;
    this.#initialMs = initialServiceMs ?? defaultServiceMs;
    this.#meanMs = new Smoothed(this.#initialMs, serviceSmoothing);
  }

  get inFlight(): number {
    return this.#running.size;
  }

  get queued(): number {
    return this.#queue.length;
  }

  get nextExpiry(): number | null {
    let next: number | null = null;
    for (const call of this.#queue) {
      const at = this.#lastStart(call);
      if (next === null || at < next) next = at;
    }
    return next;
  }

  /** Refusals: 1605 while draining, 1604 if the wait would be of no use. */
  tryAdmit(call: AdmissionCall, now: number): AdmissionDecision {
    this.#announced.delete(call.id);
    if (this.#draining) return this.#refused(call, CALL_CODES.draining, 0);
    const isFree = this.#running.size < this.#slots;
    if (isFree && this.#queue.length === 0) return this.#admit(call, now);
    const refusal = this.#refusalFor(call, this.#expectedWait(call, now), now);
    if (refusal) return refusal;
    this.#queue.push(call);
    return {kind: 'queued', callId: call.id};
  }

  /**
   * Calls whose bodies arrive count as waiting here, since each of them will want
   * a slot: more bodies than can be served would only fill the link.
   */
  announce(call: AdmissionCall, now: number): AdmissionDecision | null {
    if (this.#draining) return this.#refused(call, CALL_CODES.draining, 0);
    const free = Math.max(0, this.#slots - this.#running.size);
    const ahead = this.#announced.size;
    if (this.#queue.length > 0 || ahead >= free) {
      const aheadMs = Math.max(0, ahead - free) * this.#estimate(call);
      const waitMs =
        this.#expectedWait(call, now) + aheadMs / Math.max(1, this.#slots);
      const refusal = this.#refusalFor(call, waitMs, now);
      if (refusal) return refusal;
    }
    this.#announced.add(call.id);
    return null;
  }

  withdraw(callId: string): void {
    this.#announced.delete(callId);
  }

  /**
   * Ends a running call and fills the free slots. An unknown id is ignored.
   *
   * @param serviceMs - Time that the upstream took, in milliseconds; null for
   * calls whose time says nothing about the upstream.
   */
  finish(
    callId: string,
    now: number,
    serviceMs?: number | null,
  ): AdmissionDecision[] {
    const running = this.#running.get(callId);
    if (!running) return [];
    this.#running.delete(callId);
    if (serviceMs !== null) {
      this.#record(running.route, serviceMs ?? now - running.since);
    }
    return this.#fill(now);
  }

  /** A slot is held until the end of the answer. */
  responseStarted(): AdmissionDecision[] {
    return [];
  }

  cancel(callId: string): boolean {
    return cancelWaiting(this.#queue, callId);
  }

  /** Refuses the waiting calls that can no longer be answered in time. */
  expire(now: number): AdmissionDecision[] {
    return expireWaiting(
      this.#queue,
      now,
      call => this.#lastStart(call),
      call => {
        const waitMs = this.#expectedWait(call, now);
        return this.#refused(call, CALL_CODES.deadlineTooClose, waitMs);
      },
    );
  }

  /** Refuses new and waiting calls from now on; running calls continue. */
  drain(): AdmissionDecision[] {
    this.#draining = true;
    const waiting = this.#queue.splice(0);
    const code = CALL_CODES.draining;
    return waiting.map(call => this.#refused(call, code, 0));
  }

  setSlots(slots: number, now: number): AdmissionDecision[] {
    this.#slots = slots;
    return this.#fill(now);
  }

  report(): LoadReport {
    return {
      inFlight: this.#running.size,
      queued: this.#queue.length,
      slots: this.#slots,
      serviceMs: this.#meanMs.value,
    };
  }

  #refusalFor(
    call: AdmissionCall,
    waitMs: number,
    now: number,
  ): AdmissionDecision | null {
    if (now + waitMs <= this.#lastUsefulStart(call, now)) return null;
    return this.#refused(call, CALL_CODES.queueFull, waitMs);
  }

  #fill(now: number): AdmissionDecision[] {
    const decisions = this.expire(now);
    while (this.#queue.length > 0 && this.#running.size < this.#slots) {
      const [next] = this.#queue.splice(this.#nextIndex(now), 1);
      if (next) decisions.push(this.#admit(next, now));
    }
    return decisions;
  }

  #nextIndex(now: number): number {
    let best = 0;
    for (let i = 1; i < this.#queue.length; i++) {
      const [a, b] = [this.#queue[i], this.#queue[best]];
      if (a && b && this.#goesBefore(a, b, now)) best = i;
    }
    return best;
  }

  /** Whether `a`, which arrived later, goes before `b`. */
  #goesBefore(a: AdmissionCall, b: AdmissionCall, now: number): boolean {
    const rankA = a.priority ?? 0;
    const rankB = b.priority ?? 0;
    if (rankA !== rankB) return rankA < rankB;
    const isSubA = a.isSubCall === true;
    const isSubB = b.isSubCall === true;
    if (isSubA !== isSubB) return isSubA;
    return !this.#isLate(a, now) && this.#isLate(b, now);
  }

  #isLate(call: AdmissionCall, now: number): boolean {
    if (call.targetAt === undefined || call.isSubCall) return false;
    return now + neededShare * this.#estimate(call) > call.targetAt;
  }

  #admit(call: AdmissionCall, now: number): AdmissionDecision {
    this.#running.set(call.id, {route: call.route ?? otherRoute, since: now});
    return {kind: 'admitted', callId: call.id};
  }

  /** Time until a call of its rank gets a slot, in milliseconds. */
  #expectedWait(call: AdmissionCall, now: number): number {
    let aheadMs = this.#meanMs.value;
    for (const waiting of this.#queue) {
      if (this.#goesBefore(call, waiting, now)) continue;
      aheadMs += this.#estimate(waiting);
    }
    return aheadMs / Math.max(1, this.#slots);
  }

  /**
   * Latest expected start of a call that may wait. A call that can meet its
   * target waits only as long as it still meets it nearly always: a longer queue
   * would serve no more calls, and all of them late. One that is late anyway
   * waits for the rest of its time.
   */
  #lastUsefulStart(call: AdmissionCall, now: number): number {
    const {targetAt} = call;
    if (call.isSubCall) return now + subCallShare * (call.deadline.at - now);
    if (targetAt === undefined || this.#isLate(call, now)) {
      return this.#lastStart(call);
    }
    const spareMs = targetAt - now - onTimeShare * this.#estimate(call);
    return now + Math.max(minQueueMs, spareMs);
  }

  /** Latest start of a waiting call; then it is refused. */
  #lastStart(call: AdmissionCall): number {
    const {deadline, targetAt} = call;
    const neededMs = neededShare * this.#estimate(call);
    if (targetAt === undefined || call.isSubCall) return deadline.at - neededMs;
    const lateMs = lateShare * Math.max(0, deadline.at - targetAt);
    return Math.min(deadline.at, targetAt + lateMs) - neededMs;
  }

  #estimate({route}: AdmissionCall): number {
    return this.#serviceMs.get(route ?? otherRoute)?.value ?? this.#initialMs;
  }

  #record(route: string, serviceMs: number): void {
    this.#meanMs.add(serviceMs);
    const known = this.#serviceMs.get(route);
    if (known) {
      known.add(serviceMs);
      return;
    }
    this.#serviceMs.set(route, new Smoothed(serviceMs, serviceSmoothing));
  }

  #refused(
    {id}: AdmissionCall,
    code: ResultCode,
    waitMs: number,
  ): AdmissionDecision {
    const retryAfterMs = Math.max(minRetryAfterMs, waitMs);
    return {kind: 'refused', callId: id, code, retryAfterMs};
  }
}
