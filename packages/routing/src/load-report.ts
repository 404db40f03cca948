/** Load of an upstream, which the serving node sends with each response. @public */
export interface LoadReport {
  /** Calls that are running. */
  readonly inFlight: number;
  /** Calls that are waiting for a slot. */
  readonly queued: number;
  /** Current concurrency limit; may be below the announced slots. */
  readonly slots: number;
  /** Moving average of the service time in the upstream, in milliseconds. */
  readonly serviceMs: number;
}
