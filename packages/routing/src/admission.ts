import {CALL_CODES} from '@verbenabeam/core';
import type {ResultCode} from '@verbenabeam/core';
import type {
  AdmissionCall,
  AdmissionDecision,
  AdmissionOptions,
  AdmissionPolicy,
} from './admission-types.js';
import {GradientLimit} from './gradient-limit.js';
import type {LoadReport} from './load-report.js';
import {cancelWaiting, expireWaiting} from './waiting-calls.js';

interface Waiting extends AdmissionCall {
  readonly since: number;
}

const defaultMaxWaitMs = 50;
/** Share of the longest wait at which the queue counts as overloaded. */
const overloadShare = 0.5;

/**
 * Decides which calls run on the own upstream. A refusal means that the call
 * was not run. Methods return the decisions on queued calls that they caused;
 * the driver must carry out all of them.
 *
 * @public
 */
export class Admission implements AdmissionPolicy {
  readonly #limit: GradientLimit;
  readonly #maxWaitMs: number;
  /** Start of each running call; null once its answer has begun. */
  readonly #running = new Map<string, number | null>();
  /** Running calls whose answer has not begun. */
  #unanswered = 0;
  /** Oldest first. */
  readonly #queue: Waiting[] = [];
  #draining = false;

  constructor(options: AdmissionOptions) {
    this.#limit = new GradientLimit(options.slots, options.gradient);
    this.#maxWaitMs = options.maxWaitMs ?? defaultMaxWaitMs;
  }

  get inFlight(): number {
    return this.#running.size;
  }

  get queued(): number {
    return this.#queue.length;
  }

  get draining(): boolean {
    return this.#draining;
  }

  /** True when the instance is leaving and its last call has ended. */
  get drained(): boolean {
    return this.#draining && this.#running.size === 0;
  }

  /** Time at which {@link Admission.expire} is due; null with no queue. */
  get nextExpiry(): number | null {
    const times = this.#queue.map(w => this.#expiryOf(w));
    return times.length === 0 ? null : Math.min(...times);
  }

  /**
   * Asks for a slot.
   *
   * Refusals: 1605 while draining, 1606 if the deadline cannot be met, 1604 if
   * the expected wait exceeds the limit.
   */
  tryAdmit(call: AdmissionCall, now: number): AdmissionDecision {
    const refusal = this.announce(call, now);
    if (refusal) return refusal;
    if (this.#isIdle) return this.#admit(call, now);
    this.#queue.push({...call, since: now});
    return {kind: 'queued', callId: call.id};
  }

  /** Calls whose bodies arrive are not counted here. */
  announce(call: AdmissionCall, now: number): AdmissionDecision | null {
    if (this.#draining) return refused(call, CALL_CODES.draining);
    const isIdle = this.#isIdle;
    const waitMs = isIdle ? 0 : this.#expectedWait();
    if (!call.deadline.allows(now, waitMs + this.#limit.floorMs)) {
      return refused(call, CALL_CODES.deadlineTooClose);
    }
    if (isIdle || waitMs <= this.#maxWaitMs) return null;
    return refused(call, CALL_CODES.queueFull);
  }

  /**
   * Ends a running call and fills the free slots. An unknown id is ignored,
   * because an end may be reported twice.
   *
   * @param serviceMs - Time that the upstream took, in milliseconds; default
   * the time since admission. Null for calls whose time says nothing about the
   * upstream (cancelled, reset); they do not count for the limit. A streamed
   * answer counts until its head, since its length is no sign of load.
   */
  finish(
    callId: string,
    now: number,
    serviceMs?: number | null,
  ): AdmissionDecision[] {
    const startedAt = this.#running.get(callId);
    if (startedAt === undefined) return [];
    if (startedAt !== null) {
      const measuredMs = serviceMs === undefined ? now - startedAt : serviceMs;
      this.#endWait(measuredMs, now);
    }
    this.#running.delete(callId);
    return this.#fill(now);
  }

  /**
   * Notes that the answer of a running call has begun. It keeps its slot, but
   * no longer counts for the gradient limit: a stream takes long without load,
   * and streams that fill a lowered limit would shut out all other calls.
   *
   * @param serviceMs - Time until the head of the answer, in milliseconds.
   */
  responseStarted(
    callId: string,
    now: number,
    serviceMs: number,
  ): AdmissionDecision[] {
    if (typeof this.#running.get(callId) !== 'number') return [];
    this.#endWait(serviceMs, now);
    this.#running.set(callId, null);
    return this.#fill(now);
  }

  /**
   * Removes a call that waits. Returns false if it does not wait here: a
   * running call keeps its slot until {@link Admission.finish}.
   */
  cancel(callId: string): boolean {
    return cancelWaiting(this.#queue, callId);
  }

  /** Refuses the waiting calls whose time is over. */
  expire(now: number): AdmissionDecision[] {
    return expireWaiting(
      this.#queue,
      now,
      waiting => this.#expiryOf(waiting),
      waiting => refused(waiting, this.#expiryCode(waiting)),
    );
  }

  /** Refuses new and waiting calls from now on; running calls continue. */
  drain(): AdmissionDecision[] {
    this.#draining = true;
    const waiting = this.#queue.splice(0);
    return waiting.map(w => refused(w, CALL_CODES.draining));
  }

  /** Takes over a changed number of slots and fills the free ones. */
  setSlots(slots: number, now: number): AdmissionDecision[] {
    this.#limit.setSlots(slots);
    return this.#fill(now);
  }

  /** Exact load for the answer to the entry node. */
  report(): LoadReport {
    return {
      inFlight: this.#running.size,
      queued: this.#queue.length,
      slots: this.#limit.limit,
      serviceMs: this.#limit.serviceMs,
    };
  }

  #fill(now: number): AdmissionDecision[] {
    const decisions = this.expire(now);
    while (this.#queue.length > 0 && this.#hasRoom()) {
      const next = this.#takeNext(now);
      if (next) decisions.push(this.#admit(next, now));
    }
    return decisions;
  }

  /**
   * Oldest first in normal operation. Newest first under overload: the newest
   * call has the most time left, the oldest would be answered too late.
   */
  #takeNext(now: number): Waiting | undefined {
    const oldest = this.#queue[0];
    const overloaded =
      oldest && now - oldest.since > overloadShare * this.#maxWaitMs;
    return overloaded ? this.#queue.pop() : this.#queue.shift();
  }

  #admit(call: AdmissionCall, now: number): AdmissionDecision {
    this.#running.set(call.id, now);
    this.#unanswered++;
    return {kind: 'admitted', callId: call.id};
  }

  withdraw(): void {
    // Nothing is kept of an announced call.
  }

  /** Whether a call gets a slot at once. */
  get #isIdle(): boolean {
    return this.#hasRoom() && this.#queue.length === 0;
  }

  #hasRoom(): boolean {
    const {slots, limit} = this.#limit;
    return this.#running.size < slots && this.#unanswered < limit;
  }

  #endWait(serviceMs: number | null, now: number): void {
    if (serviceMs !== null) {
      this.#limit.record(serviceMs, now, this.#unanswered);
    }
    this.#unanswered--;
  }

  #expectedWait(): number {
    const ahead = this.#queue.length + 1;
    return (ahead * this.#limit.serviceMs) / this.#limit.limit;
  }

  #expiryOf(waiting: Waiting): number {
    const lastStart = waiting.deadline.at - this.#limit.floorMs;
    return Math.min(waiting.since + this.#maxWaitMs, lastStart);
  }

  #expiryCode(waiting: Waiting): ResultCode {
    const byWait = waiting.since + this.#maxWaitMs;
    return this.#expiryOf(waiting) < byWait
      ? CALL_CODES.deadlineTooClose
      : CALL_CODES.queueFull;
  }
}

function refused(call: AdmissionCall, code: ResultCode): AdmissionDecision {
  return {kind: 'refused', callId: call.id, code};
}
