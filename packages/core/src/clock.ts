/**
 * Source of time. Decision logic takes `now` as an argument; only drivers hold
 * a clock.
 *
 * @public
 */
export interface Clock {
  /** Monotonic time in milliseconds; has no relation to the calendar. */
  now(): number;
  /** Calendar time in milliseconds since the Unix epoch. */
  wallTime(): number;
}

/** The clock of the running process. @public */
export const systemClock: Clock = {
  now: () => performance.now(),
  wallTime: () => Date.now(),
};
