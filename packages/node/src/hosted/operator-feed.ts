import {logger} from '@verbenabeam/core';
import type {MeshError, RandomSource} from '@verbenabeam/core';
import type {Store} from '@verbenabeam/store';
import {systemSleep} from '@verbenabeam/store';
import type {OperatorRecord} from './operator-records.js';
import {RECORD_SOURCES} from './record-watch.js';
import type {RecordWatch} from './record-watch.js';

/** Parts of an {@link OperatorFeed}. @internal */
export interface OperatorFeedOptions {
  readonly store: Store;
  readonly prefix: string;
  readonly random: RandomSource;
  readonly signal: AbortSignal;
  readonly watch: RecordWatch;
  /** Gets what was read or watched. */
  readonly onRecords: (records: readonly OperatorRecord[]) => void;
}

const readTimeoutMs = 1_500;
/**
 * Longest wait before the store is asked again. Nodes must know what they
 * missed about two seconds after an outage; full jitter spreads the herd.
 */
const maxPauseMs = 800;
const log = logger('config');

/** Reads the operators' records from the store, then follows their changes. */
export class OperatorFeed {
  readonly #options: OperatorFeedOptions;
  #isReachable = true;

  constructor(options: OperatorFeedOptions) {
    this.#options = options;
  }

  /** Runs until the signal aborts. */
  async run(): Promise<void> {
    const {signal, random} = this.#options;
    while (!signal.aborted) {
      const revision = await this.#read();
      if (revision !== null) await this.#follow(revision + 1);
      if (signal.aborted) return;
      await systemSleep(random.float() * maxPauseMs, signal);
    }
  }

  /** Returns the revision that was read; null if the store did not answer. */
  async #read(): Promise<number | null> {
    const {store, prefix, signal, watch, onRecords} = this.#options;
    const startAt = performance.now();
    let revision = 0;
    const listed = await store.list(prefix, {
      timeoutMs: readTimeoutMs,
      signal,
      onRevision: seen => {
        revision = seen;
      },
    });
    if (listed.isErr) {
      this.#onFailure(listed.error);
      return null;
    }
    if (!this.#isReachable) log('Store is reachable again.', {revision});
    this.#isReachable = true;
    watch.came(RECORD_SOURCES.read, listed.value, performance.now() - startAt);
    onRecords(listed.value);
    return revision;
  }

  async #follow(fromRevision: number): Promise<void> {
    const {store, prefix, signal, watch, onRecords} = this.#options;
    const watched = await store.watch({
      key: prefix,
      prefix: true,
      fromRevision,
      signal,
      // The system keeps what it knows when an operator deletes a record.
      onEvent: event => {
        if (event.type !== 'put') return;
        watch.came(RECORD_SOURCES.watch, [event.entry]);
        onRecords([event.entry]);
      },
    });
    if (watched.isErr) this.#onFailure(watched.error);
  }

  #onFailure(err: MeshError): void {
    if (this.#options.signal.aborted) return;
    const {code, message} = err;
    if (this.#isReachable) {
      log('Store was lost.', {code: code.code, message});
    }
    this.#isReachable = false;
  }
}
