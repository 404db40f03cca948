import {CALL_CODES, MeshError} from '@verbenabeam/core';
import {Result} from 'true-myth';

/** Upper limit of a deadline header; longer values are malformed. @public */
export const MAX_DEADLINE_MS = 3_600_000;

/**
 * Point on the monotonic clock after which the answer of a call is useless.
 * Between processes only the remaining time travels, because clocks differ.
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
   * Deadline of a call: the route's timeout, shortened by the time that the
   * calling service has left.
   */
  static after(now: number, timeoutMs: number, inheritedMs = Infinity) {
    return new Deadline(now + Math.min(timeoutMs, inheritedMs));
  }

  /**
   * Reads a `vb-deadline-ms` header (whole milliseconds that remain).
   *
   * @returns 1611 when the text is not a whole number up to
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

  /** Milliseconds left, never negative. */
  remaining(now: number): number {
    return Math.max(0, this.at - now);
  }

  /** Header value for the next hop, rounded down. */
  toHeader(now: number): string {
    return String(Math.min(MAX_DEADLINE_MS, Math.floor(this.remaining(now))));
  }

  /** True when work of the given length can end in time. */
  allows(now: number, workMs: number): boolean {
    return now < this.at && now + workMs <= this.at;
  }
}
