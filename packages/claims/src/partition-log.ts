import {Result} from 'true-myth';
import type {Invariants, MeshError} from '@verbenabeam/core';
import {isUnknownOutcome} from '@verbenabeam/store';
import type {Entry, TxnOutcome} from '@verbenabeam/store';
import {defaultClaimLimits} from './claim-limits.js';
import type {ClaimLimits} from './claim-limits.js';
import {endOf, grantOf} from './claim-records.js';
import {ClaimQueue} from './claim-queue.js';
import {ClaimTable} from './claim-table.js';
import type {BeginRequest, FinishRequest} from './messages.js';
import type {
  Action,
  Append,
  BeginCallback,
  FinishCallback,
  Time,
} from './partition-types.js';
import {unavailable} from './refusals.js';
import {SegmentIndex} from './segment-index.js';
import {
  checkpointKey,
  decodeSegment,
  encodeSegment,
  segmentKey,
} from './segment.js';
import type {Segment} from './segment.js';

/**
 * Decides the claims of one partition. A grant is given only after its record
 * is committed in the segment at the next sequence number. It does no I/O: the
 * driver performs each action of `next` and reports its result.
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
  #append: Append | null = null;
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
    this.#queue.begin({req, reply, since: time.now});
  }

  finish(req: FinishRequest, reply: FinishCallback, time: Time): void {
    this.#queue.finish({req, reply, since: time.now});
  }

  /** Returns the next action; `idle` until the next request. */
  next(time: Time): Action {
    if (this.#append) return this.#continueAppend(this.#append, time);
    const queue = this.#queue;
    if (queue.isEmpty && !queue.hasUnmatched) return {type: 'idle'};
    if (this.#phase !== 'ready') return this.#list(time);
    queue.answerKnown(this.#table, time, this.#listedAt);
    const reloadInMs = this.#listedAt + this.#limits.reloadMs - time.now;
    if (queue.hasUnmatched && reloadInMs <= 0) return this.#list(time);
    if (queue.isEmpty) {
      if (!queue.hasUnmatched) return {type: 'idle'};
      // Begins that arrive in the meantime must not wait for the reload.
      return {type: 'wait', ms: Math.min(reloadInMs, this.#limits.intervalMs)};
    }
    const ms = this.#nextAppendAt - time.now;
    if (ms > 0) return {type: 'wait', ms};
    this.#append = this.#buildAppend(time);
    return this.#continueAppend(this.#append, time);
  }

  /** Reports the segments of the partition; they replace the whole state. */
  onListed(listed: Result<readonly Entry[], MeshError>): void {
    if (listed.isErr) {
      this.#phase = 'unloaded';
      this.#queue.refuseAll(listed.error);
      return;
    }
    this.#queue.requeueUnmatched();
    this.#table = new ClaimTable(this.#limits, this.#invariants);
    this.#index = new SegmentIndex(this.#prefix, this.#limits);
    for (const entry of listed.value) this.#load(entry);
    this.#phase = 'ready';
  }

  /** Reports the outcome of the append. */
  onAppended(outcome: Result<TxnOutcome, MeshError>, time: Time): void {
    const append = this.#append;
    if (!append) return;
    if (outcome.isOk) {
      if (outcome.value.committed) this.#commit(append, outcome.value.revision);
      else this.#onConflict(append, outcome.value.current);
      return;
    }
    if (isUnknownOutcome(outcome.error)) append.uncertain = true;
    if (append.uncertain) {
      // A copy may be in transit; only the store's content can settle it.
      this.#backOff(append, time);
      return;
    }
    this.#append = null;
    for (const begin of append.begins) begin.reply(unavailable(outcome.error));
    for (const f of append.finishes) f.reply(Result.err(outcome.error));
  }

  /** Reports what the store holds at the sequence number of the append. */
  onReadBack(read: Result<Entry | null, MeshError>, time: Time): void {
    const append = this.#append;
    if (!append) return;
    this.#backOff(append, time);
    if (read.isErr) return;
    append.failures = 0;
    this.#nextAppendAt = time.now + this.#limits.intervalMs;
    if (!read.value) append.step = 'send';
    else if (this.#isOurs(append, read.value)) {
      this.#commit(append, read.value.revision);
    } else this.#onConflict(append, [read.value]);
  }

  #list(time: Time): Action {
    this.#phase = 'listing';
    this.#listedAt = time.now;
    return {type: 'list'};
  }

  /** Reads back later, and less often while the store does not respond. */
  #backOff(append: Append, time: Time): void {
    const {intervalMs, maxReadBackMs} = this.#limits;
    const ms = Math.min(intervalMs * 2 ** append.failures, maxReadBackMs);
    append.failures++;
    append.step = 'readBack';
    this.#nextAppendAt = time.now + ms;
  }

  #continueAppend(append: Append, time: Time): Action {
    if (append.uncertain) this.#queue.refuseLate(append, time);
    const ms = this.#nextAppendAt - time.now;
    if (append.uncertain && ms > 0) return {type: 'wait', ms};
    if (append.step === 'readBack') {
      append.step = 'reading';
      return {type: 'readBack', key: segmentKey(this.#prefix, append.sequence)};
    }
    append.step = 'sent';
    this.#nextAppendAt = time.now + this.#limits.intervalMs;
    return {type: 'append', txn: append.txn};
  }

  #buildAppend(time: Time): Append {
    const begins = this.#queue.takeBegins();
    const finishes = this.#queue.takeFinishes();
    const grants = new Map(
      begins.map(({req}) => [req.claim, grantOf(req, time.wall)]),
    );
    const ends = finishes.map(({req}) => endOf(req, this.#table, time.wall));
    const foldedUpTo = this.#index.chooseFold(time.wall);
    const segment: Segment = {
      operationId: this.#newId(),
      at: time.wall,
      folded: this.#table.recordsUpTo(foldedUpTo, time.wall),
      records: [...ends, ...grants.values()],
    };
    const sequence = this.#index.nextSequence;
    const value = encodeSegment(segment);
    return {
      sequence,
      segment,
      txn: this.#index.txnOf(sequence, value, foldedUpTo),
      bytes: value.byteLength,
      foldedUpTo,
      begins,
      finishes,
      uncertain: false,
      failures: 0,
      step: 'send',
    };
  }

  #commit(append: Append, revision: number): void {
    this.#append = null;
    const {sequence, segment, foldedUpTo} = append;
    this.#applySegment(segment, sequence, append.bytes);
    if (foldedUpTo > 0) {
      this.#index.setCheckpoint(revision);
      this.#index.removeUpTo(foldedUpTo);
    }
    for (const {reply} of append.begins) reply(Result.ok({state: 'granted'}));
    for (const {reply} of append.finishes) reply(Result.ok(true));
  }

  /** Another owner appended: drops the state, reloads and decides again. */
  #onConflict(append: Append, current: readonly Entry[]): void {
    const key = segmentKey(this.#prefix, append.sequence);
    const entry = current.find(e => e.key === key);
    if (entry && this.#isOurs(append, entry)) {
      this.#commit(append, entry.revision);
      return;
    }
    this.#append = null;
    this.#phase = 'unloaded';
    this.#queue.restore(append);
  }

  #isOurs(append: Append, entry: Entry): boolean {
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
