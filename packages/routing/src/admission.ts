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

interface QueuedCall extends AdmissionCall {
  readonly since: number;
}

const defaultMaxWaitMs = 50;
/** Wait of the oldest call that indicates overload, as a share of the longest wait. */
const overloadShare = 0.5;

/**
 * Admission control with a short queue and a concurrency limit that adapts to the
 * service time. A refused call was not run. Methods that return a list return new
 * decisions on queued calls; the caller of the method must carry out all of them.
 *
 * @public
 */
export class Admission implements AdmissionPolicy {
  readonly #limit: GradientLimit;
  readonly #maxWaitMs: number;
  /** Start time of each running call; null once its response has started. */
  readonly #running = new Map<string, number | null>();
  /** Number of running calls whose response has not started. */
  #unanswered = 0;
  /** Oldest first. */
  readonly #queue: QueuedCall[] = [];
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

  /** True once the instance is draining and its last call has ended. */
  get drained(): boolean {
    return this.#draining && this.#running.size === 0;
  }

  /** Time at which {@link Admission.expire} is due; null if no call is queued. */
  get nextExpiry(): number | null {
    const times = this.#queue.map(w => this.#expiresAt(w));
    return times.length === 0 ? null : Math.min(...times);
  }

  /**
   * Requests a slot for a call.
   *
   * Refusals: 1605 while draining, 1606 if the deadline cannot be met, 1604 if
   * the expected wait exceeds the longest wait.
   */
  tryAdmit(call: AdmissionCall, now: number): AdmissionDecision {
    const refusal = this.announce(call, now);
    if (refusal) return refusal;
    if (this.#canRunNow) return this.#admit(call, now);
    this.#queue.push({...call, since: now});
    return {kind: 'queued', callId: call.id};
  }

  /** Calls whose bodies are still arriving are not counted here. */
  announce(call: AdmissionCall, now: number): AdmissionDecision | null {
    if (this.#draining) return refused(call, CALL_CODES.draining);
    const canRunNow = this.#canRunNow;
    const waitMs = canRunNow ? 0 : this.#expectedWait();
    if (!call.deadline.allows(now, waitMs + this.#limit.minServiceMs)) {
      return refused(call, CALL_CODES.deadlineTooClose);
    }
    if (canRunNow || waitMs <= this.#maxWaitMs) return null;
    return refused(call, CALL_CODES.queueFull);
  }

  /**
   * Ends a running call and admits queued calls to the free slots. An unknown id
   * is ignored, because the end of a call may be reported twice.
   *
   * @param serviceMs - Time that the upstream took, in milliseconds; default: the
   * time since admission. Null for calls whose time is no measure of the
   * upstream (cancelled, reset); such calls do not change the limit. For a streamed
   * response, the time until its head: its total duration does not depend on load.
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
      this.#recordResponseStart(measuredMs, now);
    }
    this.#running.delete(callId);
    return this.#fill(now);
  }

  /**
   * Records that the response of a running call has started. The call keeps its
   * slot but no longer counts towards the gradient limit: a stream takes long
   * even without load, and long streams that fill a lowered limit would block all
   * other calls.
   *
   * @param serviceMs - Time until the response head, in milliseconds.
   */
  responseStarted(
    callId: string,
    now: number,
    serviceMs: number,
  ): AdmissionDecision[] {
    if (typeof this.#running.get(callId) !== 'number') return [];
    this.#recordResponseStart(serviceMs, now);
    this.#running.set(callId, null);
    return this.#fill(now);
  }

  /**
   * Removes a queued call. Returns false if the call is not queued: a running
   * call keeps its slot until {@link Admission.finish}.
   */
  cancel(callId: string): boolean {
    return cancelWaiting(this.#queue, callId);
  }

  /** Refuses the queued calls whose longest wait or latest start has passed. */
  expire(now: number): AdmissionDecision[] {
    return expireWaiting(
      this.#queue,
      now,
      waiting => this.#expiresAt(waiting),
      waiting => refused(waiting, this.#expiryCode(waiting)),
    );
  }

  /** Refuses queued and new calls from now on; running calls continue. */
  drain(): AdmissionDecision[] {
    this.#draining = true;
    const waiting = this.#queue.splice(0);
    return waiting.map(w => refused(w, CALL_CODES.draining));
  }

  /** Sets the number of slots and admits queued calls to the free ones. */
  setSlots(slots: number, now: number): AdmissionDecision[] {
    this.#limit.setSlots(slots);
    return this.#fill(now);
  }

  /** Current load, sent to the entry node with each response. */
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
    while (this.#queue.length > 0 && this.#hasFreeSlot()) {
      const next = this.#takeNext(now);
      if (next) decisions.push(this.#admit(next, now));
    }
    return decisions;
  }

  /**
   * Oldest call first in normal operation, newest first under overload: the
   * newest call has the most time left, and the oldest would be answered too late.
   */
  #takeNext(now: number): QueuedCall | undefined {
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
    // Announced calls are not stored.
  }

  /** Whether a new call would get a slot at once. */
  get #canRunNow(): boolean {
    return this.#hasFreeSlot() && this.#queue.length === 0;
  }

  #hasFreeSlot(): boolean {
    const {slots, limit} = this.#limit;
    return this.#running.size < slots && this.#unanswered < limit;
  }

  #recordResponseStart(serviceMs: number | null, now: number): void {
    if (serviceMs !== null) {
      this.#limit.record(serviceMs, now, this.#unanswered);
    }
    this.#unanswered--;
  }

  #expectedWait(): number {
    const ahead = this.#queue.length + 1;
    return (ahead * this.#limit.serviceMs) / this.#limit.limit;
  }

  #expiresAt(waiting: QueuedCall): number {
    const lastStart = waiting.deadline.at - this.#limit.minServiceMs;
    return Math.min(waiting.since + this.#maxWaitMs, lastStart);
  }

  #expiryCode(waiting: QueuedCall): ResultCode {
    const byWait = waiting.since + this.#maxWaitMs;
    return this.#expiresAt(waiting) < byWait
      ? CALL_CODES.deadlineTooClose
      : CALL_CODES.queueFull;
  }
}

function refused(call: AdmissionCall, code: ResultCode): AdmissionDecision {
  return {kind: 'refused', callId: call.id, code};
}
