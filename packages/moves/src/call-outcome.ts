/** How a call to an upstream version ended. @public */
export const CALL_OUTCOMES = {
  ok: 'ok',
  /** 5xx, reset or timeout. */
  failed: 'failed',
  /** The upstream process died while it ran the call. */
  crashed: 'crashed',
  /** 4xx, refused, quarantined or cancelled: says nothing of the version. */
  ignored: 'ignored',
} as const;

/** One of the values of {@link CALL_OUTCOMES}. @public */
export type CallOutcomeKind =
  (typeof CALL_OUTCOMES)[keyof typeof CALL_OUTCOMES];

/** A finished call, as the entry node reports it to the gate. @public */
export interface CallOutcome {
  readonly service: string;
  readonly route: string;
  readonly version: string;
  readonly kind: CallOutcomeKind;
  readonly latencyMs: number;
  /** True in the first {@link warmUpMs} after the instance became ready. */
  readonly cold: boolean;
  /** Fingerprint of the request, as in crash quarantine. */
  readonly fingerprint: string;
  /** Identifies the crash across nodes: instance and time of its death. */
  readonly crashId?: string;
}

/**
 * Time after readiness in which latencies of an instance do not count: caches
 * and compiled code are slow then, whatever the version.
 *
 * @public
 */
export const warmUpMs = 60_000;
