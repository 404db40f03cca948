import type {ResultCode} from '@verbenabeam/core';
import type {Deadline} from './deadline.js';
import type {GradientOptions} from './gradient-limit.js';

/** A call that asks for a slot. @public */
export interface AdmissionCall {
  /** Unique among the calls that are queued or running here. */
  readonly id: string;
  readonly deadline: Deadline;
}

/** Answer to a call that asks for a slot. @public */
export type AdmissionDecision =
  | {readonly kind: 'admitted'; readonly callId: string}
  | {readonly kind: 'queued'; readonly callId: string}
  | {
      readonly kind: 'refused';
      readonly callId: string;
      readonly code: ResultCode;
    };

/** Settings of `Admission`. @public */
export interface AdmissionOptions {
  /** Calls that the upstream announced to run at once. */
  readonly slots: number;
  /** Longest wait for a slot in milliseconds; default 50. */
  readonly maxWaitMs?: number;
  readonly gradient?: GradientOptions;
}
