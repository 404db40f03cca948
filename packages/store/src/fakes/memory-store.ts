import {Result} from 'true-myth';
import type {Clock, MeshError, RandomSource} from '@verbenabeam/core';
import type {Store, StoreCallOptions, Txn, WatchOptions} from '../store.js';
import type {StoreBudget} from '../store-budget.js';
import {rejected, unavailable, unknownOutcome} from '../store-errors.js';
import type {Sleep} from '../sleep.js';
import {MemoryState} from './memory-state.js';

/** Options of {@link MemoryStore}. @public */
export interface MemoryStoreOptions {
  readonly clock: Clock;
  /** Sleeps on the same clock; needed for latency and time limits. */
  readonly sleep: Sleep;
  /** State to serve; several stores may share one. Default: a new state. */
  readonly state?: MemoryState;
}

/** Faults that can change while the store is used. @public */
export interface MemoryStoreFaults {
  /** Every call fails; calls in transit to the store get no response. */
  down: boolean;
  /** Time of a read, in milliseconds. */
  readMs: number;
  /** Time of a write. It takes effect after one half of this time. */
  writeMs: number;
  /** Responses to this many coming writes are lost after they took effect. */
  loseResponses: number;
  /** Share of writes whose response is lost after they took effect. */
  loseShare: number;
  /** Decides which responses `loseShare` loses. */
  random: RandomSource | null;
  /** Calls over this rate are rejected. */
  limit: StoreBudget | null;
}

/** Number of calls by kind; a watch counts as one call. @public */
export interface CallCounts {
  get: number;
  list: number;
  txn: number;
  lease: number;
  watch: number;
}

const defaultTimeoutMs = 1_000;

/**
 * Deterministic fake of the platform's store. All time comes from the passed
 * clock, and all faults are set by the test.
 *
 * @public
 */
export class MemoryStore implements Store {
  readonly state: MemoryState;
  readonly faults: MemoryStoreFaults = {
    down: false,
    readMs: 0,
    writeMs: 0,
    loseResponses: 0,
    loseShare: 0,
    random: null,
    limit: null,
  };
  readonly counts: CallCounts = {get: 0, list: 0, txn: 0, lease: 0, watch: 0};
  readonly #clock: Clock;
  readonly #sleep: Sleep;

  constructor(options: MemoryStoreOptions) {
    this.#clock = options.clock;
    this.#sleep = options.sleep;
    this.state = options.state ?? new MemoryState();
  }

  get(key: string, options: StoreCallOptions = {}) {
    this.counts.get += 1;
    return this.#read(() => this.state.range(key, false)[0] ?? null, options);
  }

  list(prefix: string, options: StoreCallOptions = {}) {
    this.counts.list += 1;
    return this.#read(() => this.state.range(prefix, true), options);
  }

  async txn(txn: Txn, options: StoreCallOptions = {}) {
    this.counts.txn += 1;
    const done = await this.#write(() => this.state.txn(txn), options);
    return done.andThen(outcome =>
      'rejected' in outcome
        ? Result.err(rejected(`transaction rejected: ${outcome.rejected}`))
        : Result.ok(outcome),
    );
  }

  grantLease(ttlMs: number, options: StoreCallOptions = {}) {
    this.counts.lease += 1;
    const grant = () => this.state.grant(ttlMs, this.#clock.now());
    return this.#write(grant, options);
  }

  keepAlive(lease: string, options: StoreCallOptions = {}) {
    this.counts.lease += 1;
    const renew = () => this.state.keepAlive(lease, this.#clock.now()) !== null;
    return this.#write(renew, options);
  }

  revoke(lease: string, options: StoreCallOptions = {}) {
    this.counts.lease += 1;
    return this.#write(() => this.state.revoke(lease), options);
  }

  watch(options: WatchOptions): Promise<Result<true, MeshError>> {
    this.counts.watch += 1;
    const refusal = this.#refusal(options.signal);
    if (refusal) return Promise.resolve(Result.err(refusal));
    const {key, prefix = false, fromRevision, onEvent, signal} = options;
    return new Promise(resolve => {
      const end = this.state.subscribe({
        key,
        prefix,
        fromRevision,
        onEvents: events => events.forEach(onEvent),
        onLost: () => resolve(Result.err(unavailable('the watch was lost'))),
      });
      const stop = () => {
        end();
        resolve(Result.ok(true));
      };
      if (signal.aborted) stop();
      else signal.addEventListener('abort', stop, {once: true});
    });
  }

  /** Starts or ends an outage; a start also ends all watches. */
  setDown(down: boolean): void {
    this.faults.down = down;
    if (down) this.state.dropWatches();
  }

  /** Number of all calls. */
  totalCalls(): number {
    const {get, list, txn, lease, watch} = this.counts;
    return get + list + txn + lease + watch;
  }

  async #read<T>(
    run: () => T,
    options: StoreCallOptions,
  ): Promise<Result<T, MeshError>> {
    const refusal = this.#refusal(options.signal);
    if (refusal) return Result.err(refusal);
    const timeoutMs = options.timeoutMs ?? defaultTimeoutMs;
    const {readMs} = this.faults;
    await this.#pause(Math.min(readMs, timeoutMs), options.signal);
    if (options.signal?.aborted || readMs > timeoutMs || this.faults.down) {
      return Result.err(unavailable('no response within the time limit'));
    }
    this.state.expire(this.#clock.now());
    return Result.ok(run());
  }

  async #write<T>(
    run: () => T,
    options: StoreCallOptions,
  ): Promise<Result<T, MeshError>> {
    const refusal = this.#refusal(options.signal);
    if (refusal) return Result.err(refusal);
    const timeoutMs = options.timeoutMs ?? defaultTimeoutMs;
    const {writeMs} = this.faults;
    const applied = this.#applyAfter(writeMs / 2, run);
    const responded = applied.then(async outcome => {
      await this.#pause(writeMs - writeMs / 2);
      return outcome;
    });
    const limit = writeMs > timeoutMs ? this.#limit(timeoutMs) : null;
    const aborted = options.signal ? whenAborted(options.signal) : null;
    const outcome = await Promise.race(
      [responded, limit, aborted].filter(p => p !== null),
    );
    if (outcome.lost) return Result.err(unknownOutcome('no response'));
    return Result.ok(outcome.value as T);
  }

  async #applyAfter<T>(ms: number, run: () => T): Promise<WriteOutcome<T>> {
    const lost = this.#losesResponse();
    await this.#pause(ms);
    if (this.faults.down) return {lost: true};
    this.state.expire(this.#clock.now());
    const value = run();
    return lost ? {lost: true} : {lost: false, value};
  }

  async #limit(timeoutMs: number): Promise<{lost: true}> {
    await this.#sleep(timeoutMs);
    return {lost: true};
  }

  #losesResponse(): boolean {
    if (this.faults.loseResponses > 0) {
      this.faults.loseResponses -= 1;
      return true;
    }
    const {loseShare, random} = this.faults;
    return random !== null && random.float() < loseShare;
  }

  #refusal(signal: AbortSignal | undefined): MeshError | null {
    if (signal?.aborted) return unavailable('the call was aborted');
    if (this.faults.down) return unavailable('the store is down');
    const within = this.faults.limit?.tryTake(this.#clock.now()) ?? true;
    return within ? null : unavailable('the store limits the rate');
  }

  async #pause(ms: number, signal?: AbortSignal): Promise<void> {
    if (ms > 0) await this.#sleep(ms, signal);
  }
}

type WriteOutcome<T> = {lost: true} | {lost: false; value: T};

function whenAborted(signal: AbortSignal): Promise<{lost: true}> {
  return new Promise(resolve => {
    signal.addEventListener('abort', () => resolve({lost: true}), {once: true});
  });
}
