import type {LoadReport} from './load-report.js';

/** An instance that can be chosen for a call. @public */
export interface Candidate {
  readonly nodeId: string;
  readonly dataCentre: string;
  /** Slots that the instance announced; used until a load report arrives. */
  readonly slots: number;
  /**
   * Time at which the instance became ready, on the same clock as the `now`
   * parameter of `InstancePicker.pick`.
   */
  readonly readySince: number;
}

/** How a call to an instance ended. @public */
export const CALL_OUTCOMES = {
  /** A complete response that is not a failure of the instance. */
  ok: 'ok',
  /** A 5xx response, a connection reset or a timeout. */
  failed: 'failed',
  /** The instance refused the call before it ran, because of load. */
  refused: 'refused',
  /**
   * The upstream refused the call before it ran, although the instance had free
   * slots; counts as a failure.
   */
  shed: 'shed',
  /** The connection failed; the instance is ejected at once. */
  unreachable: 'unreachable',
  /** Cancelled by the caller; no measure of the instance. */
  cancelled: 'cancelled',
} as const;

/** One of the values of {@link CALL_OUTCOMES}. @public */
export type CallOutcome = (typeof CALL_OUTCOMES)[keyof typeof CALL_OUTCOMES];

/** Result of one call, as the entry node observed it. @public */
export interface OutcomeReport {
  readonly nodeId: string;
  readonly outcome: CallOutcome;
  /** Route of the call; calls without a route share one latency average. */
  readonly route?: string;
  /** Time from sending to the end of the response, in milliseconds. */
  readonly latencyMs: number;
  /** Load report that came with the response, if any. */
  readonly load?: LoadReport;
}

/** Requirements of a call on its instance. Times in milliseconds. @public */
export interface PickLimits {
  /**
   * Target latency of the call: a response faster than this has no further
   * benefit. An instance in the local data centre that meets this target is
   * preferred. Default 0.
   */
  readonly targetMs?: number;
  /** Route of the call; its average latency is used for the estimate. */
  readonly route?: string;
  /**
   * Highest acceptable expected time to the response, without `linkMs`. Default:
   * no limit.
   */
  readonly maxCostMs?: number;
}

/** Settings of `InstancePicker`. @public */
export interface PickerOptions {
  /** Data centre of this node. */
  readonly dataCentre: string;
  /** Extra latency of a call to another data centre, in ms; default 3. */
  readonly linkMs?: number;
  /** Length of the slow start in milliseconds; default 10,000. */
  readonly slowStartMs?: number;
  /** Consecutive failures after which an instance is ejected; default 5. */
  readonly maxFailures?: number;
  /** Failure rate above which an instance is ejected; default 0.5. */
  readonly maxFailureRate?: number;
  /**
   * Duration of the first ejection in milliseconds; default 1,000. Doubles with
   * each further ejection, up to 64 times this value.
   */
  readonly ejectionMs?: number;
}

/** State of one instance in the picker, for status and metrics. @public */
export interface InstanceView {
  readonly nodeId: string;
  readonly inFlight: number;
  /** Time until which the instance is ejected, in ms on the clock of `now`. */
  readonly ejectedUntil: number;
  readonly failureRate: number;
  /** Expected time to the response in milliseconds, without `linkMs`. */
  readonly costMs: number;
}
