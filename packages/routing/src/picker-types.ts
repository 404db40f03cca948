import type {LoadReport} from './load-report.js';

/** An instance that may take a call. @public */
export interface Candidate {
  readonly nodeId: string;
  readonly dataCentre: string;
  /** Slots from the announcement; used until a report arrives. */
  readonly slots: number;
  /** Time since which it is ready, on the clock of `now`. */
  readonly readySince: number;
}

/** How a call to an instance ended. @public */
export const CALL_OUTCOMES = {
  /** A complete answer that is no failure of the instance. */
  ok: 'ok',
  /** 5xx, reset or timeout. */
  failed: 'failed',
  /** Refused as not run because of load. */
  refused: 'refused',
  /** Refused as not run although it has room; counts as a failure. */
  shed: 'shed',
  /** No connection; the instance is ejected at once. */
  unreachable: 'unreachable',
  /** Ended by the caller; says nothing about the instance. */
  cancelled: 'cancelled',
} as const;

/** One of the values of {@link CALL_OUTCOMES}. @public */
export type CallOutcome = (typeof CALL_OUTCOMES)[keyof typeof CALL_OUTCOMES];

/** What the entry node observed of one call. @public */
export interface OutcomeReport {
  readonly nodeId: string;
  readonly outcome: CallOutcome;
  /** Route of the call; default: one for all calls. */
  readonly route?: string;
  /** Time from sending to the end of the answer, in milliseconds. */
  readonly latencyMs: number;
  /** Load report on the answer, if there was one. */
  readonly load?: LoadReport;
}

/** What a call asks of its instance. Times in milliseconds. @public */
export interface PickLimits {
  /**
   * Time within which an answer is as useful as an earlier one; an instance of
   * the own data centre that meets it is preferred. Default 0.
   */
  readonly targetMs?: number;
  /** Route whose times are expected; default: one for all calls. */
  readonly route?: string;
  /** Longest expected time of the instance. Default: none. */
  readonly maxCostMs?: number;
}

/** Settings of `InstancePicker`. @public */
export interface PickerOptions {
  /** Data centre of this node. */
  readonly dataCentre: string;
  /** Added time of a call to another data centre, in ms; default 3. */
  readonly linkMs?: number;
  /** Length of the slow start in milliseconds; default 10,000. */
  readonly slowStartMs?: number;
  /** Consecutive failures that eject an instance; default 5. */
  readonly maxFailures?: number;
  /** Smoothed failure share that ejects an instance; default 0.5. */
  readonly maxFailureShare?: number;
  /** First ejection time in milliseconds; doubles up to 64 times; default 1,000. */
  readonly ejectionMs?: number;
}

/** What the picker knows of one instance, for status and metrics. @public */
export interface InstanceView {
  readonly nodeId: string;
  readonly inFlight: number;
  readonly ejectedUntil: number;
  readonly failureShare: number;
  /** Expected time to the answer in milliseconds. */
  readonly costMs: number;
}
