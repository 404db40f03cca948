import {Result} from 'true-myth';
import type {Invariants, MeshError} from '@verbenabeam/core';
import {isUnknownOutcome} from '@verbenabeam/store';
import type {Entry, TxnOutcome} from '@verbenabeam/store';
import {defaultClaimLimits} from './claim-limits.js';
import type {ClaimLimits} from './claim-limits.js';
import {outcomeRecord, grantRecord} from './claim-records.js';
import {ClaimQueue} from './claim-queue.js';
import {ClaimTable} from './claim-table.js';
import type {BeginRequest, FinishRequest} from './messages.js';
import type {
  Action,
  PendingAppend,
  BeginCallback,
  FinishCallback,
  Time,
} from './partition-types.js';
import {unavailableError} from './claim-errors.js';
import {SegmentIndex} from './segment-index.js';
import {
  checkpointKey,
  decodeSegment,
  encodeSegment,
  segmentKey,
} from './segment.js';
import type {Segment} from './segment.js';

/**
 * State machine of one partition, whose claims are kept in a log of segments in
 * the store. It grants a claim only after the store has committed the record of
 * the grant, in the segment with the next sequence number. The class does no
 * I/O: its driver performs each action that `next` returns and reports the
 * result to `onListed`, `onAppended` or `onReadBack`.
 *
 * @internal
 */
export class PartitionLog {
  readonly #prefix: string;
  readonly #limits: ClaimLimits;
  readonly #invariants: Invariants;
  readonly #newId: () => string;
  readonly #queue: ClaimQueue;
  #table: ClaimTable;
  #phase: 'unloaded' | 'listing' | 'ready' = 'unloaded';
  #append: PendingAppend | null = null;
  #index: SegmentIndex;
  #nextAppendAt = 0;
  #listedAt = -Infinity;

  constructor(
    prefix: string,
    invariants: Invariants,
    newId: () => string,
    limits: Partial<ClaimLimits> = {},
  ) {
    this.#prefix = prefix;
    this.#invariants = invariants;
    this.#newId = newId;
    this.#limits = {...defaultClaimLimits, ...limits};
    this.#queue = new ClaimQueue(this.#limits);
    this.#table = new ClaimTable(this.#limits, invariants);
    this.#index = new SegmentIndex(prefix, this.#limits);
  }

  begin(req: BeginRequest, reply: BeginCallback, time: Time): void {
    this.#queue.begin({req, reply, arrivedAt: time.now});
  }

  finish(req: FinishRequest, reply: FinishCallback, time: Time): void {
    this.#queue.finish({req, reply, arrivedAt: time.now});
  }

  /** Returns the next action; `idle` if nothing is left until the next request. */
  next(time: Time): Action {
    if (this.#append) return this.#continueAppend(this.#append, time);
    const queue = this.#queue;
    if (queue.isEmpty && !queue.hasUnmatched) return {type: 'idle'};
    if (this.#phase !== 'ready') return this.#list(time);
    queue.resolveFromTable(this.#table, time, this.#listedAt);
    const reloadInMs =
      this.#listedAt + this.#limits.minReloadIntervalMs - time.now;
    if (queue.hasUnmatched && reloadInMs <= 0) return this.#list(time);
    if (queue.isEmpty) {
      if (!queue.hasUnmatched) return {type: 'idle'};
      // Waits no longer than one append interval: a begin may arrive and must
      // not wait for the reload.
      return {
        type: 'wait',
        ms: Math.min(reloadInMs, this.#limits.minAppendIntervalMs),
      };
    }
    const ms = this.#nextAppendAt - time.now;
    if (ms > 0) return {type: 'wait', ms};
    this.#append = this.#buildAppend(time);
    return this.#continueAppend(this.#append, time);
  }

  /** Replaces the state of the partition with the segments in the store. */
  onListed(listed: Result<readonly Entry[], MeshError>): void {
    if (listed.isErr) {
      this.#phase = 'unloaded';
      this.#queue.rejectAll(listed.error);
      return;
    }
    this.#queue.requeueUnmatched();
    this.#table = new ClaimTable(this.#limits, this.#invariants);
    this.#index = new SegmentIndex(this.#prefix, this.#limits);
    for (const entry of listed.value) this.#load(entry);
    this.#phase = 'ready';
  }

  /** Handles the result of the transaction that appends a segment. */
  onAppended(outcome: Result<TxnOutcome, MeshError>, time: Time): void {
    const append = this.#append;
    if (!append) return;
    if (outcome.isOk) {
      if (outcome.value.committed) this.#commit(append, outcome.value.revision);
      else this.#onConflict(append, outcome.value.current);
      return;
    }
    if (isUnknownOutcome(outcome.error)) append.outcomeUnknown = true;
    if (append.outcomeUnknown) {
      // The store may still apply an earlier attempt, so the outcome must be
      // read from the store.
      this.#backOff(append, time);
      return;
    }
    this.#append = null;
    for (const begin of append.begins)
      begin.reply(unavailableError(outcome.error));
    for (const f of append.finishes) f.reply(Result.err(outcome.error));
  }

  /** Handles the read of the segment at the append's sequence number. */
  onReadBack(read: Result<Entry | null, MeshError>, time: Time): void {
    const append = this.#append;
    if (!append) return;
    this.#backOff(append, time);
    if (read.isErr) return;
    append.failures = 0;
    this.#nextAppendAt = time.now + this.#limits.minAppendIntervalMs;
    if (!read.value) append.step = 'send';
    else if (this.#isOwnSegment(append, read.value)) {
      this.#commit(append, read.value.revision);
    } else this.#onConflict(append, [read.value]);
  }

  #list(time: Time): Action {
    this.#phase = 'listing';
    this.#listedAt = time.now;
    return {type: 'list'};
  }

  /**
   * Schedules a read of the segment. The delay grows exponentially while the
   * store does not respond.
   */
  #backOff(append: PendingAppend, time: Time): void {
    const {minAppendIntervalMs, maxReadBackIntervalMs} = this.#limits;
    const ms = Math.min(
      minAppendIntervalMs * 2 ** append.failures,
      maxReadBackIntervalMs,
    );
    append.failures++;
    append.step = 'readBack';
    this.#nextAppendAt = time.now + ms;
  }

  #continueAppend(append: PendingAppend, time: Time): Action {
    if (append.outcomeUnknown) this.#queue.rejectTimedOut(append, time);
    const ms = this.#nextAppendAt - time.now;
    if (append.outcomeUnknown && ms > 0) return {type: 'wait', ms};
    if (append.step === 'readBack') {
      append.step = 'reading';
      return {type: 'readBack', key: segmentKey(this.#prefix, append.sequence)};
    }
    append.step = 'sent';
    this.#nextAppendAt = time.now + this.#limits.minAppendIntervalMs;
    return {type: 'append', txn: append.txn};
  }

  #buildAppend(time: Time): PendingAppend {
    const begins = this.#queue.takeBegins();
    const finishes = this.#queue.takeFinishes();
    const grants = new Map(
      begins.map(({req}) => [req.claim, grantRecord(req, time.wall)]),
    );
    const ends = finishes.map(({req}) =>
      outcomeRecord(req, this.#table, time.wall),
    );
    const compactedUpTo = this.#index.chooseCompaction(time.wall);
    const segment: Segment = {
      operationId: this.#newId(),
      at: time.wall,
      folded: this.#table.recordsUpTo(compactedUpTo, time.wall),
      records: [...ends, ...grants.values()],
    };
    const sequence = this.#index.nextSequence;
    const value = encodeSegment(segment);
    return {
      sequence,
      segment,
      txn: this.#index.appendTxn(sequence, value, compactedUpTo),
      bytes: value.byteLength,
      compactedUpTo,
      begins,
      finishes,
      outcomeUnknown: false,
      failures: 0,
      step: 'send',
    };
  }

  #commit(append: PendingAppend, revision: number): void {
    this.#append = null;
    const {sequence, segment, compactedUpTo} = append;
    this.#applySegment(segment, sequence, append.bytes);
    if (compactedUpTo > 0) {
      this.#index.setCheckpoint(revision);
      this.#index.removeUpTo(compactedUpTo);
    }
    for (const {reply} of append.begins) reply(Result.ok({state: 'granted'}));
    for (const {reply} of append.finishes) reply(Result.ok(true));
  }

  /**
   * Handles an append that the store did not commit. Unless the existing segment
   * is our own, another owner has appended it: the state is reloaded and the
   * requests are decided again.
   */
  #onConflict(append: PendingAppend, current: readonly Entry[]): void {
    const key = segmentKey(this.#prefix, append.sequence);
    const entry = current.find(e => e.key === key);
    if (entry && this.#isOwnSegment(append, entry)) {
      this.#commit(append, entry.revision);
      return;
    }
    this.#append = null;
    this.#phase = 'unloaded';
    this.#queue.requeue(append);
  }

  #isOwnSegment(append: PendingAppend, entry: Entry): boolean {
    const {operationId} = decodeSegment(entry.value);
    return operationId === append.segment.operationId;
  }

  #load(entry: Entry): void {
    if (entry.key === checkpointKey(this.#prefix)) {
      this.#index.setCheckpoint(entry.revision);
      return;
    }
    const sequence = Number(entry.key.slice(this.#prefix.length));
    const segment = decodeSegment(entry.value);
    this.#applySegment(segment, sequence, entry.value.byteLength);
  }

  #applySegment(segment: Segment, sequence: number, bytes: number): void {
    for (const r of segment.folded) this.#table.apply(r, sequence);
    for (const r of segment.records) this.#table.apply(r, sequence);
    this.#index.add(sequence, bytes, segment.at);
  }
}
