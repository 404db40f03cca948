import {logger} from '@verbenabeam/core';
import type {MeshError, RandomSource} from '@verbenabeam/core';
import type {Store, WatchLimits, WatchRound} from '@verbenabeam/store';
import {positionFields, systemSleep} from '@verbenabeam/store';
import type {OfferOptions, OperatorRecord} from './operator-records.js';
import {RECORD_SOURCES} from './record-progress.js';
import type {RecordProgress} from './record-progress.js';

/** Dependencies of an {@link OperatorFeed}. @internal */
export interface OperatorFeedOptions {
  readonly store: Store;
  readonly prefix: string;
  readonly random: RandomSource;
  readonly signal: AbortSignal;
  readonly progress: RecordProgress;
  /** Receives records of a read or watch; returns whether any is new. */
  readonly onRecords: (
    records: readonly OperatorRecord[],
    options?: OfferOptions,
  ) => boolean;
  /** Called when the feed starts or stops to watch the store. */
  readonly onWatching: (isWatching: boolean) => void;
}

/** Enough for all records, a few megabytes, over a slow link, in ms. */
const readTimeoutMs = 8_000;
/** A store that sends nothing for this long counts as lost, in ms. */
const silenceMs = 1_500;
/**
 * Longest wait before the next read. Nodes must have the changes that they missed
 * about two seconds after an outage; full jitter spreads their reads.
 */
const maxRetryDelayMs = 800;
/** Age of a read after which its revision may have left the store's history, in ms. */
const maxReadAgeMs = 10_000;
/**
 * Finds a silent connection within 3.2 s: a change made 3 s after it fell silent must
 * be in force 2 s later.
 */
const checkingLimits: WatchLimits = {waitMs: 2_500, slackMs: 700};
const log = logger('config');

interface ReadResult {
  readonly revision: number;
  /** Time of the read, monotonic, in ms. */
  readonly at: number;
  /** Whether any record was new to this node. */
  readonly isNew: boolean;
}

/**
 * Reads the operators' records from the store, then watches them if this node is a
 * watcher. A watch delivers every version. A node whose link is slower than the
 * writes falls behind its watch; it then reads only the newest records until it
 * has caught up, so that its delay does not grow.
 */
export class OperatorFeed {
  readonly #options: OperatorFeedOptions;
  #isReachable = true;
  #shouldWatch = true;
  #isWatchBehind = false;
  /** The first read may be old: a watch or the peers deliver what it lacks. */
  #mayReadStale = true;
  /** Whether the records are to be read again before a watch. */
  #mustRead = false;
  /** Ends the current watch or wait; each one gets a new controller. */
  #step = new AbortController();
  #checksConnection = false;
  /** Ends the current call of the watch. */
  #round = new AbortController();

  constructor(options: OperatorFeedOptions) {
    this.#options = options;
  }

  /** Whether the feed watches the store after the first read; initially true. */
  set shouldWatch(value: boolean) {
    if (this.#shouldWatch === value) return;
    this.#shouldWatch = value;
    this.#step.abort();
  }

  /**
   * Whether the watch soon finds out that its connection has gone silent, which
   * costs calls; initially false. A watch that begins to do so uses a new connection.
   */
  set checksConnection(value: boolean) {
    if (this.#checksConnection === value) return;
    this.#checksConnection = value;
    if (value) this.#round.abort();
  }

  /** Reads the records again, unless the feed watches the store. */
  readNow(): void {
    if (this.#shouldWatch) return;
    this.#mustRead = true;
    this.#step.abort();
  }

  /** Runs until the signal aborts. */
  async run(): Promise<void> {
    const {signal, random, onWatching} = this.#options;
    while (!signal.aborted) {
      const result = await this.#read();
      if (result?.isNew === true && this.#isWatchBehind) continue;
      this.#isWatchBehind = false;
      let isReadDueNow = false;
      if (result === null) onWatching(false);
      else isReadDueNow = await this.#watchOrWait(result);
      if (signal.aborted) return;
      if (!isReadDueNow)
        await systemSleep(random.float() * maxRetryDelayMs, signal);
    }
  }

  /**
   * Watches the store, or waits, until a new read is due. Returns false if other
   * nodes read at the same time, so that this one should wait a little.
   */
  async #watchOrWait({revision, at}: ReadResult): Promise<boolean> {
    const {signal, onWatching} = this.#options;
    let watchUntil = at + maxReadAgeMs;
    while (!signal.aborted && !this.#mustRead) {
      if (!this.#shouldWatch) {
        await this.#waitForNextStep();
        continue;
      }
      if (performance.now() > watchUntil) return true;
      onWatching(true);
      const isLost = !(await this.#watch(revision + 1));
      if (this.#isWatchBehind) return true;
      onWatching(false);
      if (isLost) return false;
      // The watch has passed the revision of the read.
      watchUntil = -Infinity;
    }
    return false;
  }

  /** Returns null if the store did not answer. */
  async #read(): Promise<ReadResult | null> {
    const {store, prefix, signal, progress, onRecords} = this.#options;
    const startAt = performance.now();
    const mayBeStale = this.#mayReadStale;
    this.#mustRead = false;
    let revision = 0;
    const listed = await store.list(prefix, {
      timeoutMs: readTimeoutMs,
      silenceMs,
      mayBeStale,
      signal,
      onRevision: seen => {
        revision = seen;
      },
    });
    if (listed.isErr) {
      this.#onFailure(listed.error);
      return null;
    }
    this.#mayReadStale = false;
    if (!this.#isReachable) {
      log('Store is reachable again.', positionFields(revision));
    }
    this.#isReachable = true;
    // A list is no snapshot and may hold changes after its revision. A node that
    // kept such a change would seem to hold all earlier changes too, so changes after
    // the revision are dropped; the watch or a peer delivers the changes in order.
    const records = listed.value.filter(row => row.revision <= revision);
    progress.onReceived(
      RECORD_SOURCES.read,
      records,
      performance.now() - startAt,
    );
    const isNew = onRecords(records, {isComplete: true});
    return {revision, at: startAt, isNew};
  }

  /** Returns false if the connection to the store was lost. */
  async #watch(fromRevision: number): Promise<boolean> {
    const {store, prefix, progress, onRecords} = this.#options;
    const signal = this.#beginStep();
    const watched = await store.watch({
      key: prefix,
      prefix: true,
      fromRevision,
      signal,
      nextRound: () => this.#nextRound(),
      // Nodes keep a record that an operator deletes.
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

  #nextRound(): WatchRound {
    this.#round = new AbortController();
    const {signal} = this.#round;
    return this.#checksConnection ? {limits: checkingLimits, signal} : {signal};
  }

  /** Waits until the feed must watch or read the store. */
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
      log('Store is unreachable.', {code: code.code, message});
    }
    this.#isReachable = false;
  }
}
