import type {ResultCode} from '@verbenabeam/core';
import type {Deadline} from './deadline.js';
import type {GradientOptions} from './gradient-limit.js';
import type {LoadReport} from './load-report.js';

/** A call that asks for a slot. @public */
export interface AdmissionCall {
  /** Unique among the calls that are queued or running here. */
  readonly id: string;
  readonly deadline: Deadline;
  /** Name of the route; times in the upstream are kept for each. */
  readonly route?: string;
  /** Rank of the route; 0, the default, is the most urgent. */
  readonly priority?: number;
  /** Time after which an answer is of less use; default: the deadline. */
  readonly targetAt?: number;
  /** Whether an upstream makes the call for one that it runs. */
  readonly isSubCall?: boolean;
}

/** Answer to a call that asks for a slot. @public */
export type AdmissionDecision =
  | {readonly kind: 'admitted'; readonly callId: string}
  | {readonly kind: 'queued'; readonly callId: string}
  | {
      readonly kind: 'refused';
      readonly callId: string;
      readonly code: ResultCode;
      /** Time in which the backlog clears, in milliseconds. */
      readonly retryAfterMs?: number;
    };

/**
 * Decides which calls run on the own upstream. A refusal means that the call
 * was not run. Methods return the decisions on queued calls that they caused;
 * the driver must carry out all of them.
 *
 * @public
 */
export interface AdmissionPolicy {
  readonly inFlight: number;
  /** Time at which `expire` is due; null with no queue. */
  readonly nextExpiry: number | null;
  tryAdmit(call: AdmissionCall, now: number): AdmissionDecision;
  /**
   * Tells of a call that enters once its body has arrived. Returns the refusal
   * that it would get by now, or null; then `tryEnter` or `withdraw` must follow.
   */
  announce(call: AdmissionCall, now: number): AdmissionDecision | null;
  /** Forgets an announced call that will not enter. */
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
  /** Calls that the upstream announced to run at once. */
  readonly slots: number;
  /** Longest wait for a slot in milliseconds; default 50. */
  readonly maxWaitMs?: number;
  readonly gradient?: GradientOptions;
}
