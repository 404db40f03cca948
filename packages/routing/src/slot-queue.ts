import {CALL_CODES} from '@verbenabeam/core';
import type {ResultCode} from '@verbenabeam/core';
import type {
  AdmissionCall,
  AdmissionDecision,
  AdmissionPolicy,
} from './admission-types.js';
import type {LoadReport} from './load-report.js';
import {Ewma} from './ewma.js';
import {cancelWaiting, expireWaiting} from './waiting-calls.js';

/** Settings of {@link SlotQueue}. @public */
export interface SlotQueueOptions {
  /** Number of calls that the upstream announced it can run concurrently. */
  readonly slots: number;
  /** Service time assumed before the first measurement, in ms; default 50. */
  readonly initialServiceMs?: number;
}

interface Running {
  readonly route: string;
  readonly since: number;
}

const defaultServiceMs = 50;
const serviceSmoothing = 0.1;
/**
 * Share of the mean service time that a call must have left. Service times vary
 * by about half of their mean; requiring the whole mean would refuse calls that
 * could still be answered in time.
 */
const minServiceShare = 0.7;
/** Multiple of the mean service time within which nearly all calls end. */
const onTimeServiceShare = 1.5;
/**
 * Share of the time between target and deadline for which a late call may still
 * wait. Under overload the slots go to calls that can meet their target.
 */
const lateWaitShare = 0.3;
/** Share of its remaining time that a sub-call may wait. */
const subCallWaitShare = 0.5;
/** Minimum of the allowed wait, so that short bursts are not refused. */
const minQueueMs = 15;
/** Lower bound of the retry delay: by then part of the queue has cleared. */
const minRetryAfterMs = 20;
const unnamedRoute = '';

/**
 * Admission control with a priority queue for an upstream with a fixed number of
 * slots, designed for overload that lasts for seconds, during which the responses
 * to urgent calls must still arrive within their target time.
 *
 * Calls never exceed the slots, because an overloaded upstream resets
 * connections, and a call whose connection was reset may have run. Queued calls
 * are ordered as follows:
 *
 * 1. by priority, the most urgent first;
 * 2. sub-calls before other calls: the call that makes them holds a slot
 *    elsewhere, and its work is lost if they fail;
 * 3. calls that can meet their target before those that cannot;
 * 4. by arrival.
 *
 * A call that would wait too long is refused at once.
 *
 * @public
 */
export class SlotQueue implements AdmissionPolicy {
  #slots: number;
  readonly #initialMs: number;
  readonly #running = new Map<string, Running>();
  readonly #queue: AdmissionCall[] = [];
  /** Ids of the calls whose bodies are still arriving. */
  readonly #announced = new Set<string>();
  readonly #serviceMs = new Map<string, Ewma>();
  readonly #meanMs: Ewma;
  #draining = false;

  constructor({slots, initialServiceMs}: SlotQueueOptions) {
    this.#slots = slots;
    this.#initialMs = initialServiceMs ?? defaultServiceMs;
    this.#meanMs = new Ewma(this.#initialMs, serviceSmoothing);
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
      const at = this.#latestStart(call);
      if (next === null || at < next) next = at;
    }
    return next;
  }

  /** Refusals: 1605 while draining, 1604 if the expected wait is too long. */
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
   * Calls whose bodies are still arriving count as queued, because each of them
   * will need a slot. Bodies of calls that cannot be served in time would only use
   * up bandwidth.
   */
  announce(call: AdmissionCall, now: number): AdmissionDecision | null {
    if (this.#draining) return this.#refused(call, CALL_CODES.draining, 0);
    const free = Math.max(0, this.#slots - this.#running.size);
    const ahead = this.#announced.size;
    if (this.#queue.length > 0 || ahead >= free) {
      const aheadMs = Math.max(0, ahead - free) * this.#estimateMs(call);
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
   * Ends a running call and admits queued calls to the free slots. An unknown id
   * is ignored.
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

  /** Does nothing: a call holds its slot until the end of its response. */
  responseStarted(): AdmissionDecision[] {
    return [];
  }

  cancel(callId: string): boolean {
    return cancelWaiting(this.#queue, callId);
  }

  /** Refuses the queued calls that can no longer be answered in time. */
  expire(now: number): AdmissionDecision[] {
    return expireWaiting(
      this.#queue,
      now,
      call => this.#latestStart(call),
      call => {
        const waitMs = this.#expectedWait(call, now);
        return this.#refused(call, CALL_CODES.deadlineTooClose, waitMs);
      },
    );
  }

  /** Refuses queued and new calls from now on; running calls continue. */
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
    if (now + waitMs <= this.#latestUsefulStart(call, now)) return null;
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
      if (a && b && this.#precedes(a, b, now)) best = i;
    }
    return best;
  }

  /** Whether `a`, which arrived after `b`, is served before it. */
  #precedes(a: AdmissionCall, b: AdmissionCall, now: number): boolean {
    const priorityA = a.priority ?? 0;
    const priorityB = b.priority ?? 0;
    if (priorityA !== priorityB) return priorityA < priorityB;
    const isSubA = a.isSubCall === true;
    const isSubB = b.isSubCall === true;
    if (isSubA !== isSubB) return isSubA;
    return !this.#isLate(a, now) && this.#isLate(b, now);
  }

  /** Whether the call can probably no longer meet its target. */
  #isLate(call: AdmissionCall, now: number): boolean {
    if (call.targetAt === undefined || call.isSubCall) return false;
    return now + minServiceShare * this.#estimateMs(call) > call.targetAt;
  }

  #admit(call: AdmissionCall, now: number): AdmissionDecision {
    this.#running.set(call.id, {route: call.route ?? unnamedRoute, since: now});
    return {kind: 'admitted', callId: call.id};
  }

  /** Expected wait of the call for a slot, in milliseconds. */
  #expectedWait(call: AdmissionCall, now: number): number {
    let aheadMs = this.#meanMs.value;
    for (const waiting of this.#queue) {
      if (this.#precedes(call, waiting, now)) continue;
      aheadMs += this.#estimateMs(waiting);
    }
    return aheadMs / Math.max(1, this.#slots);
  }

  /**
   * Latest expected start at which a new call is still queued. A call that can
   * meet its target is queued only if it will almost certainly meet it: a longer
   * queue would serve no more calls, and all of them late. A call that will miss
   * its target anyway may wait until its latest start.
   */
  #latestUsefulStart(call: AdmissionCall, now: number): number {
    const {targetAt} = call;
    if (call.isSubCall)
      return now + subCallWaitShare * (call.deadline.at - now);
    if (targetAt === undefined || this.#isLate(call, now)) {
      return this.#latestStart(call);
    }
    const spareMs =
      targetAt - now - onTimeServiceShare * this.#estimateMs(call);
    return now + Math.max(minQueueMs, spareMs);
  }

  /** Time after which a queued call is refused. */
  #latestStart(call: AdmissionCall): number {
    const {deadline, targetAt} = call;
    const neededMs = minServiceShare * this.#estimateMs(call);
    if (targetAt === undefined || call.isSubCall) return deadline.at - neededMs;
    const lateMs = lateWaitShare * Math.max(0, deadline.at - targetAt);
    return Math.min(deadline.at, targetAt + lateMs) - neededMs;
  }

  #estimateMs({route}: AdmissionCall): number {
    return this.#serviceMs.get(route ?? unnamedRoute)?.value ?? this.#initialMs;
  }

  #record(route: string, serviceMs: number): void {
    this.#meanMs.add(serviceMs);
    const known = this.#serviceMs.get(route);
    if (known) {
      known.add(serviceMs);
      return;
    }
    this.#serviceMs.set(route, new Ewma(serviceMs, serviceSmoothing));
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
