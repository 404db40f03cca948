import {logger} from '@verbenabeam/core';
import {TimeTotals} from './time-totals.js';

/** Places where a call waits before its upstream gets it. @public */
export const WAIT_PLACES = {
  /** Between its reading and its start at the entry node. */
  entry: 'entry',
  /** On the wire, as far as the age of its first frame is known. */
  wire: 'wire',
  /** Between its reading and its start at the serving node. */
  serving: 'serving',
  /** For a slot of the upstream. */
  queue: 'queue',
  /** For a connection to the upstream, after it got a slot. */
  connection: 'connection',
} as const;

/** One of the values of {@link WAIT_PLACES}. @public */
export type WaitPlace = (typeof WAIT_PLACES)[keyof typeof WAIT_PLACES];

/** Shorter waits are not noted, in ms. */
const longMs = 100;
const log = logger('waits');

/** Sums the waits of calls by place, and notes the long ones. @public */
export class CallWaits {
  /** All waits since they were last taken. */
  readonly totals = new TimeTotals();
  readonly #counts = new Map<WaitPlace, number>();

  /** Calls that waited for long, by place. */
  get counts(): ReadonlyMap<WaitPlace, number> {
    return this.#counts;
  }

  record(place: WaitPlace, callId: string, waitedMs: number): void {
    this.totals.add(place, waitedMs);
    if (waitedMs < longMs) return;
    this.#counts.set(place, (this.#counts.get(place) ?? 0) + 1);
    log('Call waited.', {requestId: callId, place, ms: Math.round(waitedMs)});
  }
}
