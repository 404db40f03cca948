import {logger} from '@verbenabeam/core';
import type {Clock} from '@verbenabeam/core';
import {positionFields, revisionOf} from '@verbenabeam/store';
import type {OperatorRecord} from './operator-records.js';

/** Ways in which a node gets the operators' records. @internal */
export const RECORD_SOURCES = {
  /** A read of all records from the store. */
  read: 'read',
  /** The watch of the store. */
  watch: 'watch',
  /** Another node. */
  peer: 'peer',
} as const;

/** One of the values of {@link RECORD_SOURCES}. @internal */
export type RecordSource = (typeof RECORD_SOURCES)[keyof typeof RECORD_SOURCES];

/** Delays below this are not logged, in ms. */
const minLoggedMs = 300;
const log = logger('config');

/**
 * Logs how the operators' records reach this node, and measures for how long it has
 * known of a newer revision than it holds.
 *
 * @internal
 */
export class RecordProgress {
  readonly #clock: Clock;
  /** Highest revision that peers have announced. */
  #announcedRevision = 0;
  /** Time at which the node learned of a newer revision; null if up to date. */
  #behindSince: number | null = null;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Time since the node learned of a newer revision, in ms; 0 if up to date. */
  get behindMs(): number {
    if (this.#behindSince === null) return 0;
    return this.#clock.now() - this.#behindSince;
  }

  /** Notes a revision that a peer announced. */
  onAnnounced(revision: number, held: number): void {
    this.#announcedRevision = Math.max(this.#announcedRevision, revision);
    if (this.#announcedRevision > held) this.#behindSince ??= this.#clock.now();
  }

  /** Notes that the node holds all records up to a revision. */
  onHeld(revision: number): void {
    const since = this.#behindSince;
    if (since === null) return;
    const ms = Math.round(this.#clock.now() - since);
    const isUpToDate = revision >= this.#announcedRevision;
    this.#behindSince = isUpToDate ? null : this.#clock.now();
    if (ms < minLoggedMs) return;
    log('Records were received late.', {
      ...positionFields(revision),
      heard: revisionOf(this.#announcedRevision),
      ms,
    });
  }

  /**
   * Logs received records.
   *
   * @param ms - Duration of the transfer; undefined for a watch, which waits.
   */
  onReceived(
    source: RecordSource,
    records: readonly OperatorRecord[],
    ms?: number,
  ): void {
    log('Records received.', {
      source,
      count: records.length,
      bytes: records.reduce((sum, {value}) => sum + value.length, 0),
      ...positionFields(Math.max(0, ...records.map(row => row.revision))),
      ...(ms === undefined ? {} : {ms: Math.round(ms)}),
    });
  }
}
