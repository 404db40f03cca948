import {logger} from '@verbenabeam/core';
import type {Clock} from '@verbenabeam/core';
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

/** Shorter delays are not logged, in ms. */
const minLoggedMs = 300;
const log = logger('config');

/**
 * Notes how the operators' records reach this node, and for how long it has known
 * of a newer revision than it holds.
 *
 * @internal
 */
export class RecordProgress {
  readonly #clock: Clock;
  /** Highest revision that this node has heard of. */
  #announcedRevision = 0;
  /** Time since which a newer revision is known; null for none. */
  #behindSince: number | null = null;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Time for which a newer revision has been known, in ms. */
  get behindMs(): number {
    if (this.#behindSince === null) return 0;
    return this.#clock.now() - this.#behindSince;
  }

  /** A peer told of a revision. */
  onAnnounced(revision: number, held: number): void {
    this.#announcedRevision = Math.max(this.#announcedRevision, revision);
    if (this.#announcedRevision > held) this.#behindSince ??= this.#clock.now();
  }

  /** The node holds all records up to a revision. */
  onHeld(revision: number): void {
    const since = this.#behindSince;
    if (since === null) return;
    const ms = Math.round(this.#clock.now() - since);
    const isUpToDate = revision >= this.#announcedRevision;
    this.#behindSince = isUpToDate ? null : this.#clock.now();
    if (ms < minLoggedMs) return;
    log('Records came late.', {revision, heard: this.#announcedRevision, ms});
  }

  /**
   * Logs records that came.
   *
   * @param ms - Time of the transfer; undefined for a watch, which waits.
   */
  onReceived(
    source: RecordSource,
    records: readonly OperatorRecord[],
    ms?: number,
  ): void {
    log('Records came.', {
      source,
      count: records.length,
      bytes: records.reduce((sum, {value}) => sum + value.length, 0),
      revision: Math.max(0, ...records.map(({revision}) => revision)),
      ...(ms === undefined ? {} : {ms: Math.round(ms)}),
    });
  }
}
