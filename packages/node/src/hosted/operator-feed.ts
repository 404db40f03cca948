import {logger} from '@verbenabeam/core';
import type {MeshError, RandomSource} from '@verbenabeam/core';
import type {Store} from '@verbenabeam/store';
import {systemSleep} from '@verbenabeam/store';
import type {OperatorRecord} from './operator-records.js';
import {RECORD_SOURCES} from './record-progress.js';
import type {RecordProgress} from './record-progress.js';

/** Parts of an {@link OperatorFeed}. @internal */
export interface OperatorFeedOptions {
  readonly store: Store;
  readonly prefix: string;
  readonly random: RandomSource;
  readonly signal: AbortSignal;
  readonly progress: RecordProgress;
  /** Takes what was read or watched; returns whether some of it is new. */
  readonly onRecords: (records: readonly OperatorRecord[]) => boolean;
  /** Called when the feed begins or ceases to follow the store. */
  readonly onWatching: (isWatching: boolean) => void;
}

/** Time for all records, of a few megabytes over a slow link, in ms. */
const readTimeoutMs = 8_000;
/** A store that sends nothing for this long does not respond, in ms. */
const silenceMs = 1_500;
/**
 * Longest wait before the store is asked again. Nodes must know what they
 * missed about two seconds after an outage; full jitter spreads the herd.
 */
const maxRetryDelayMs = 800;
const log = logger('config');

interface ReadResult {
  readonly revision: number;
  /** Whether some were new here. */
  readonly isNew: boolean;
}

/**
 * Reads the operators' records from the store, then follows their changes if this
 * node is to do so. A watch brings each version; a node whose link carries them
 * slower than they are written reads the newest ones instead until it has caught
 * up, so that its delay does not grow.
 */
export class OperatorFeed {
  readonly #options: OperatorFeedOptions;
  #isReachable = true;
  #shouldWatch = true;
  #isWatchBehind = false;
  /** Ends the step that runs; it is replaced for each step. */
  #step = new AbortController();

  constructor(options: OperatorFeedOptions) {
    this.#options = options;
  }

  /** Whether the store shall be followed beyond the first read; at first true. */
  set shouldWatch(follows: boolean) {
    if (this.#shouldWatch === follows) return;
    this.#shouldWatch = follows;
    this.#step.abort();
  }

  /** Reads the records once more, unless the store is followed. */
  readNow(): void {
    if (!this.#shouldWatch) this.#step.abort();
  }

  /** Runs until the signal aborts. */
  async run(): Promise<void> {
    const {signal, random, onWatching} = this.#options;
    while (!signal.aborted) {
      const result = await this.#read();
      if (result?.isNew === true && this.#isWatchBehind) continue;
      this.#isWatchBehind = false;
      if (result === null) onWatching(false);
      else await this.#watchOrWait(result.revision + 1);
      if (signal.aborted) return;
      if (!this.#isWatchBehind)
        await systemSleep(random.float() * maxRetryDelayMs, signal);
    }
  }

  /** Returns when the records must be read again. */
  async #watchOrWait(fromRevision: number): Promise<void> {
    const {onWatching} = this.#options;
    if (this.#shouldWatch) {
      onWatching(true);
      const isLost = !(await this.#watch(fromRevision));
      if (this.#isWatchBehind) return;
      onWatching(false);
      if (isLost) return;
    }
    if (!this.#shouldWatch) await this.#waitForNextStep();
  }

  /** Returns null if the store did not answer. */
  async #read(): Promise<ReadResult | null> {
    const {store, prefix, signal, progress, onRecords} = this.#options;
    const startAt = performance.now();
    let revision = 0;
    const listed = await store.list(prefix, {
      timeoutMs: readTimeoutMs,
      silenceMs,
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
    // A list is no snapshot: with a later change a node would seem to hold what
    // changed before it as well. The watch or a peer brings both in their order.
    const records = listed.value.filter(row => row.revision <= revision);
    progress.onReceived(
      RECORD_SOURCES.read,
      records,
      performance.now() - startAt,
    );
    return {revision, isNew: onRecords(records)};
  }

  /** Returns false if the store was lost. */
  async #watch(fromRevision: number): Promise<boolean> {
    const {store, prefix, progress, onRecords} = this.#options;
    const signal = this.#beginStep();
    const watched = await store.watch({
      key: prefix,
      prefix: true,
      fromRevision,
      signal,
      // The system keeps what it knows when an operator deletes a record.
      onEvent: event => {
        if (event.type !== 'put') return;
        progress.onReceived(RECORD_SOURCES.watch, [event.entry]);
        onRecords([event.entry]);
      },
      onBehind: () => {
        this.#isWatchBehind = true;
        this.#step.abort();
      },
    });
    if (watched.isErr) this.#onFailure(watched.error);
    return watched.isOk;
  }

  /** Waits until the store is to be followed or read again. */
  async #waitForNextStep(): Promise<void> {
    const signal = this.#beginStep();
    await new Promise<void>(resolve => {
      signal.addEventListener('abort', () => resolve(), {once: true});
    });
  }

  #beginStep(): AbortSignal {
    this.#step = new AbortController();
    return AbortSignal.any([this.#options.signal, this.#step.signal]);
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
