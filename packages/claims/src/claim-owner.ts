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
  /** Ends the work on all partitions. Default: never. */
  readonly signal?: AbortSignal;
  /** A partition without requests for this long is forgotten. Default 60 s. */
  readonly idleMs?: number;
}

interface Partition {
  readonly log: PartitionLog;
  running: boolean;
  usedAt: number;
}

const log = logger('claims');
const defaultIdleMs = 60_000;

/**
 * Serves the claims of every partition that it is asked for. Two owners of one
 * partition are harmless: each append is create-if-absent.
 *
 * @public
 */
export class ClaimOwner {
  readonly #options: ClaimOwnerOptions;
  readonly #partitions = new Map<number, Partition>();

  constructor(options: ClaimOwnerOptions) {
    this.#options = options;
  }

  /** Handles `claim.begin`. Errors (1702, 1706) mean that nothing may run. */
  begin(req: BeginRequest): Promise<Result<BeginReply, MeshError>> {
    const partition = this.#partition(req.partition);
    return new Promise(resolve => {
      partition.log.begin(req, resolve, this.#time());
      this.#start(req.partition, partition);
    });
  }

  /** Handles `claim.finish`; an error means that it was not recorded. */
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
    this.#forgetIdle(now);
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

  #forgetIdle(now: number): void {
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
      // The state broke an invariant; the next request loads it again.
      this.#partitions.delete(number);
      log('partition dropped', {partition: number, err: String(err)});
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
