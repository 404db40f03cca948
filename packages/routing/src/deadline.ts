import {CALL_CODES, MeshError} from '@verbenabeam/core';
import {Result} from 'true-myth';

/** Largest valid value of the deadline header. @public */
export const MAX_DEADLINE_MS = 3_600_000;

/**
 * Time on the monotonic clock after which the response to a call is useless.
 * Processes send each other the remaining time, because their clocks differ.
 *
 * @public
 */
export class Deadline {
  /** Monotonic time in milliseconds. */
  readonly at: number;

  constructor(at: number) {
    this.at = at;
  }

  /**
   * Deadline of a call: `now` plus the timeout of the route, or plus the remaining
   * time of the calling service (`inheritedMs`) if that is shorter.
   */
  static after(now: number, timeoutMs: number, inheritedMs = Infinity) {
    return new Deadline(now + Math.min(timeoutMs, inheritedMs));
  }

  /**
   * Parses a `vb-deadline-ms` header: the remaining time in whole milliseconds.
   *
   * @returns Error 1611 if the text is not a whole number up to
   * {@link MAX_DEADLINE_MS}.
   */
  static parseRemaining(text: string): Result<number, MeshError> {
    const value = Number(text);
    if (/^\d{1,7}$/.test(text) && value <= MAX_DEADLINE_MS) {
      return Result.ok(value);
    }
    return Result.err(
      new MeshError(
        CALL_CODES.badRequest,
        `vb-deadline-ms must be a whole number of at most ${MAX_DEADLINE_MS}`,
        {value: text},
      ),
    );
  }

  /** Remaining time in milliseconds, never negative. */
  remaining(now: number): number {
    return Math.max(0, this.at - now);
  }

  /** Header value for the next hop: remaining milliseconds, rounded down. */
  toHeader(now: number): string {
    return String(Math.min(MAX_DEADLINE_MS, Math.floor(this.remaining(now))));
  }

  /** True if work that takes `workMs` can end before the deadline. */
  allows(now: number, workMs: number): boolean {
    return now < this.at && now + workMs <= this.at;
  }
}
