/** How a call to an upstream version ended. @public */
export const CALL_OUTCOMES = {
  ok: 'ok',
  /** 5xx, reset or timeout. */
  failed: 'failed',
  /** The upstream process died while it ran the call. */
  crashed: 'crashed',
  /** 4xx, refused, quarantined or cancelled: no evidence about the version. */
  ignored: 'ignored',
} as const;

/** One of the values of {@link CALL_OUTCOMES}. @public */
export type CallOutcomeKind =
  (typeof CALL_OUTCOMES)[keyof typeof CALL_OUTCOMES];

/**
 * A finished call, as the entry node reports it to the traffic splitter.
 *
 * @public
 */
export interface CallOutcome {
  readonly service: string;
  readonly route: string;
  readonly version: string;
  readonly kind: CallOutcomeKind;
  readonly latencyMs: number;
  /** True in the first {@link warmUpMs} after the instance became ready. */
  readonly cold: boolean;
  /** Fingerprint of the request, the same as in crash quarantine. */
  readonly fingerprint: string;
  /** Identifies the crash across nodes: instance and time of the crash. */
  readonly crashId?: string;
}

/**
 * Time after readiness in which the latencies of an instance do not count.
 * Caches are empty and code is not compiled yet, whatever the version.
 *
 * @public
 */
export const warmUpMs = 60_000;
