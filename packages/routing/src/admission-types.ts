import type {ResultCode} from '@verbenabeam/core';
import type {Deadline} from './deadline.js';
import type {GradientOptions} from './gradient-limit.js';
import type {LoadReport} from './load-report.js';

/** A call that needs a slot of the upstream. @public */
export interface AdmissionCall {
  /** Unique among the queued and running calls of this node. */
  readonly id: string;
  readonly deadline: Deadline;
  /** Name of the route; service times are averaged per route. */
  readonly route?: string;
  /** Priority of the route; 0, the default, is the most urgent. */
  readonly priority?: number;
  /** Time by which the response should be complete; default: the deadline. */
  readonly targetAt?: number;
  /** Whether an upstream makes this call as part of a call that it runs. */
  readonly isSubCall?: boolean;
}

/** Decision on a call that needs a slot. @public */
export type AdmissionDecision =
  | {readonly kind: 'admitted'; readonly callId: string}
  | {readonly kind: 'queued'; readonly callId: string}
  | {
      readonly kind: 'refused';
      readonly callId: string;
      readonly code: ResultCode;
      /** Expected time until the queue has cleared, in milliseconds. */
      readonly retryAfterMs?: number;
    };

/**
 * Admission control for the local upstream. A refused call was not run. Methods
 * that return a list return new decisions on queued calls; the caller of the
 * method must carry out all of them.
 *
 * @public
 */
export interface AdmissionPolicy {
  readonly inFlight: number;
  /** Time at which `expire` is due; null if no call is queued. */
  readonly nextExpiry: number | null;
  tryAdmit(call: AdmissionCall, now: number): AdmissionDecision;
  /**
   * Announces a call whose body is still arriving. Returns the refusal that the
   * call would get now, or null. After null, `tryAdmit` or `withdraw` must follow.
   */
  announce(call: AdmissionCall, now: number): AdmissionDecision | null;
  /** Removes an announced call that will not request a slot. */
  withdraw(callId: string): void;
  finish(
    callId: string,
    now: number,
    serviceMs?: number | null,
  ): AdmissionDecision[];
  responseStarted(
    callId: string,
    now: number,
    serviceMs: number,
  ): AdmissionDecision[];
  cancel(callId: string): boolean;
  expire(now: number): AdmissionDecision[];
  setSlots(slots: number, now: number): AdmissionDecision[];
  report(): LoadReport;
}

/** Settings of `Admission`. @public */
export interface AdmissionOptions {
  /** Number of calls that the upstream announced it can run concurrently. */
  readonly slots: number;
  /** Longest wait for a slot in milliseconds; default 50. */
  readonly maxWaitMs?: number;
  readonly gradient?: GradientOptions;
}
