import type {Result} from 'true-myth';
import {logger, newId} from '@verbenabeam/core';
import type {Clock, Invariants, MeshError} from '@verbenabeam/core';
import type {Sleep, Store} from '@verbenabeam/store';
import type {ClaimLimits} from './claim-limits.js';
import type {BeginReply, BeginRequest, FinishRequest} from './messages.js';
import {PartitionLog} from './partition-log.js';
import type {Action, Time} from './partition-types.js';
import {partitionPrefix} from './segment.js';

/** Options of {@link ClaimOwner}. @public */
export interface ClaimOwnerOptions {
  readonly store: Store;
  readonly environment: string;
  readonly clock: Clock;
  readonly sleep: Sleep;
  readonly invariants: Invariants;
  readonly limits?: Partial<ClaimLimits>;
  /** Stops the work on all partitions. Default: never. */
  readonly signal?: AbortSignal;
  /**
   * The state of a partition without requests for this long is removed from
   * memory. Default 60 s.
   */
  readonly idleMs?: number;
}

/** In-memory state of one partition. */
interface Partition {
  readonly log: PartitionLog;
  running: boolean;
  usedAt: number;
}

const log = logger('claims');
const defaultIdleMs = 60_000;

/**
 * Handles claim messages for any partition. Two owners of one partition are safe,
 * because an append creates a store key and fails if the key exists.
 *
 * @public
 */
export class ClaimOwner {
  readonly #options: ClaimOwnerOptions;
  readonly #partitions = new Map<number, Partition>();

  constructor(options: ClaimOwnerOptions) {
    this.#options = options;
  }

  /** Handles `claim.begin`. After an error (1702, 1706) the call must not run. */
  begin(req: BeginRequest): Promise<Result<BeginReply, MeshError>> {
    const partition = this.#partition(req.partition);
    return new Promise(resolve => {
      partition.log.begin(req, resolve, this.#time());
      this.#start(req.partition, partition);
    });
  }

  /** Handles `claim.finish`. An error means that the outcome is not recorded. */
  finish(req: FinishRequest): Promise<Result<true, MeshError>> {
    const partition = this.#partition(req.partition);
    return new Promise(resolve => {
      partition.log.finish(req, resolve, this.#time());
      this.#start(req.partition, partition);
    });
  }

  #partition(number: number): Partition {
    const {now} = this.#time();
    const known = this.#partitions.get(number);
    if (known) {
      known.usedAt = now;
      return known;
    }
    this.#evictIdle(now);
    const {environment, invariants, limits} = this.#options;
    const prefix = partitionPrefix(environment, number);
    const created: Partition = {
      log: new PartitionLog(prefix, invariants, newId, limits),
      running: false,
      usedAt: now,
    };
    this.#partitions.set(number, created);
    return created;
  }

  #evictIdle(now: number): void {
    const idleMs = this.#options.idleMs ?? defaultIdleMs;
    for (const [number, {running, usedAt}] of this.#partitions) {
      if (!running && now - usedAt > idleMs) this.#partitions.delete(number);
    }
  }

  #start(number: number, partition: Partition): void {
    if (partition.running) return;
    partition.running = true;
    this.#run(number, partition).catch((err: unknown) => {
      partition.running = false;
      // The state broke an invariant. The next request reloads it from the store.
      this.#partitions.delete(number);
      log('discarded the state of a partition; the next request reloads it', {
        partition: number,
        err: String(err),
      });
    });
  }

  async #run(number: number, partition: Partition): Promise<void> {
    const prefix = partitionPrefix(this.#options.environment, number);
    while (!this.#options.signal?.aborted) {
      const action = partition.log.next(this.#time());
      if (action.type === 'idle') break;
      await this.#perform(action, partition.log, prefix);
    }
    partition.running = false;
  }

  async #perform(
    action: Exclude<Action, {type: 'idle'}>,
    log: PartitionLog,
    prefix: string,
  ): Promise<void> {
    const {store, sleep} = this.#options;
    if (action.type === 'wait') await sleep(action.ms);
    else if (action.type === 'list') log.onListed(await store.list(prefix));
    else if (action.type === 'append') {
      log.onAppended(await store.txn(action.txn), this.#time());
    } else log.onReadBack(await store.get(action.key), this.#time());
  }

  #time(): Time {
    const {clock} = this.#options;
    return {now: clock.now(), wall: clock.wallTime()};
  }
}
