import {logger} from '@verbenabeam/core';
import {TimeTotals} from './time-totals.js';

/** Places where a call waits before it reaches its upstream. @public */
export const WAIT_PLACES = {
  /** Between reading and start on the entry node. */
  entry: 'entry',
  /** Between nodes, as far as the age of its first frame is known. */
  wire: 'wire',
  /** Between reading and admission on the serving node. */
  serving: 'serving',
  /** For a slot of the upstream. */
  queue: 'queue',
  /** For a connection to the upstream, after a slot was granted. */
  connection: 'connection',
} as const;

/** One of the values of {@link WAIT_PLACES}. @public */
export type WaitPlace = (typeof WAIT_PLACES)[keyof typeof WAIT_PLACES];

/** Waits of at least this time are counted and logged, in ms. */
const longWaitMs = 100;
const log = logger('waits');

/** Sums the waits of calls by place; counts and logs long waits. @public */
export class CallWaits {
  /** All waits since the totals were last taken. */
  readonly totals = new TimeTotals();
  readonly #counts = new Map<WaitPlace, number>();

  /** Number of long waits by place. */
  get counts(): ReadonlyMap<WaitPlace, number> {
    return this.#counts;
  }

  record(place: WaitPlace, callId: string, waitedMs: number): void {
    this.totals.add(place, waitedMs);
    if (waitedMs < longWaitMs) return;
    this.#counts.set(place, (this.#counts.get(place) ?? 0) + 1);
    log('Call waited.', {requestId: callId, place, ms: Math.round(waitedMs)});
  }
}
