/** What a serving node reports of its upstream on each answer. @public */
export interface LoadReport {
  /** Calls that run now. */
  readonly inFlight: number;
  /** Calls that wait for a slot. */
  readonly queued: number;
  /** Slots in use as a limit now; may be below the announced number. */
  readonly slots: number;
  /** Smoothed time of one call in the upstream, in milliseconds. */
  readonly serviceMs: number;
}
