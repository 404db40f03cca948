import {Result} from 'true-myth';
import {CLAIM_CODES, MeshError} from '@verbenabeam/core';
import type {Invariants} from '@verbenabeam/core';
import {isUnknownOutcome} from '@verbenabeam/store';
import type {Entry, TxnOutcome} from '@verbenabeam/store';
import {ClaimTable} from './claim-table.js';
import {defaultClaimLimits} from './claim-limits.js';
import type {ClaimLimits} from './claim-limits.js';
import type {BeginRequest, FinishRequest} from './messages.js';
import type {
  Action,
  Append,
  Begin,
  BeginCallback,
  Finish,
  FinishCallback,
  Time,
} from './partition-types.js';
import {SegmentIndex} from './segment-index.js';
import {
  checkpointKey,
  decodeSegment,
  encodeSegment,
  segmentKey,
} from './segment.js';
import type {ClaimRecord, Segment} from './segment.js';

const recordOverheadBytes = 200;

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
  #table: ClaimTable;
  #phase: 'unloaded' | 'listing' | 'ready' = 'unloaded';
  #begins: Begin[] = [];
  #finishes: Finish[] = [];
  #append: Append | null = null;
  #index: SegmentIndex;
  #nextAppendAt = 0;

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
    this.#table = new ClaimTable(this.#limits, invariants);
    this.#index = new SegmentIndex(prefix, this.#limits);
  }

  begin(req: BeginRequest, reply: BeginCallback, time: Time): void {
    if (this.#begins.length >= this.#limits.maxPending) {
      reply(refusal(CLAIM_CODES.limitReached, 'too many claims are waiting'));
      return;
    }
    this.#begins.push({req, reply, since: time.now});
  }

  finish(req: FinishRequest, reply: FinishCallback): void {
    if (this.#finishes.length >= this.#limits.maxPending) {
      reply(refusal(CLAIM_CODES.limitReached, 'too many finishes are waiting'));
      return;
    }
    this.#finishes.push({req, reply});
  }

  /** Returns the next action; `idle` until the next request. */
  next(time: Time): Action {
    if (this.#append) return this.#continueAppend(this.#append, time);
    const isEmpty = this.#begins.length + this.#finishes.length === 0;
    if (isEmpty) return {type: 'idle'};
    if (this.#phase !== 'ready') {
      this.#phase = 'listing';
      return {type: 'list'};
    }
    this.#answerKnown(time);
    if (this.#begins.length + this.#finishes.length === 0)
      return this.next(time);
    const ms = this.#nextAppendAt - time.now;
    if (ms > 0) return {type: 'wait', ms};
    this.#append = this.#buildAppend(time);
    return this.#continueAppend(this.#append, time);
  }

  /** Reports the segments of the partition; they replace the whole state. */
  onListed(listed: Result<readonly Entry[], MeshError>): void {
    if (listed.isErr) {
      this.#phase = 'unloaded';
      this.#refuseAll(listed.error);
      return;
    }
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
      append.step = 'readBack';
      this.#nextAppendAt = time.now + this.#limits.intervalMs;
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
    this.#nextAppendAt = time.now + this.#limits.intervalMs;
    append.step = 'readBack';
    if (read.isErr) return;
    if (!read.value) append.step = 'send';
    else if (this.#isOurs(append, read.value)) {
      this.#commit(append, read.value.revision);
    } else this.#onConflict(append, [read.value]);
  }

  #continueAppend(append: Append, time: Time): Action {
    if (append.uncertain) this.#refuseLate(append, time);
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

  /** Replies to begins that the recorded claims decide. */
  #answerKnown(time: Time): void {
    const first = new Map<string, string>();
    this.#begins = this.#begins.filter(({req, reply}) => {
      const known = this.#table.decide(req, time.wall);
      if (known) {
        reply(Result.ok(known));
        return false;
      }
      const holder = first.get(req.claim) ?? req.callId;
      first.set(req.claim, holder);
      if (holder === req.callId) return true;
      reply(Result.ok({state: 'inProgress'}));
      return false;
    });
    this.#finishes = this.#finishes.filter(({req, reply}) => {
      const held = this.#table.heldBy(req.claim, req.callId);
      if (held?.state === 'granted') return true;
      reply(Result.ok(true));
      return false;
    });
    if (this.#table.size < this.#limits.maxClaims) return;
    this.#table.purge(time.wall);
    if (this.#table.size < this.#limits.maxClaims) return;
    const error = refusal(CLAIM_CODES.limitReached, 'the partition is full');
    for (const begin of this.#begins.splice(0)) begin.reply(error);
  }

  #buildAppend(time: Time): Append {
    const begins = this.#begins.splice(0, this.#limits.maxBatch);
    const finishes = this.#takeFinishes();
    const grants = new Map(
      begins.map(({req}) => [req.claim, grantOf(req, time.wall)]),
    );
    const ends = finishes.flatMap(({req}) => this.#endOf(req) ?? []);
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
      step: 'send',
    };
  }

  #takeFinishes(): Finish[] {
    let bytes = 0;
    const limit = this.#limits.maxSegmentBytes;
    const count = this.#finishes.findIndex(({req}) => {
      bytes += recordOverheadBytes + (req.answer?.body.byteLength ?? 0);
      return bytes > limit;
    });
    return this.#finishes.splice(0, count < 0 ? this.#finishes.length : count);
  }

  #endOf(req: FinishRequest): ClaimRecord | null {
    const held = this.#table.heldBy(req.claim, req.callId);
    if (!held) return null;
    const state = req.outcome === 'ran' ? 'ran' : 'released';
    return {...held, state, answer: req.answer};
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
    this.#begins.unshift(...append.begins);
    this.#finishes.unshift(...append.finishes);
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

  /**
   * The claims of refused begins stay recorded. Only the client may release
   * them: it may repeat the begin and be granted by the record.
   */
  #refuseLate(append: Append, time: Time): void {
    const isLate = (b: Begin) => time.now - b.since > this.#limits.settleMs;
    const late = append.begins.filter(isLate);
    append.begins = append.begins.filter(b => !isLate(b));
    const waiting = this.#begins.filter(isLate);
    this.#begins = this.#begins.filter(b => !isLate(b));
    const message = 'the record of the claim is not settled yet';
    for (const {reply} of [...late, ...waiting]) {
      reply(refusal(CLAIM_CODES.unavailable, message));
    }
  }

  #refuseAll(error: MeshError): void {
    for (const {reply} of this.#begins.splice(0)) reply(unavailable(error));
    for (const {reply} of this.#finishes.splice(0)) reply(Result.err(error));
  }
}

function grantOf(req: BeginRequest, wall: number): ClaimRecord {
  const {claim, callId, holdMs} = req;
  return {
    claim,
    callId,
    grantedAt: wall,
    holdMs,
    state: 'granted',
    answer: null,
  };
}

function unavailable(cause: MeshError): Result<never, MeshError> {
  const details = {cause: cause.code.code};
  return refusal(CLAIM_CODES.unavailable, cause.message, details);
}

function refusal(
  code: (typeof CLAIM_CODES)['unavailable'],
  message: string,
  details = {},
): Result<never, MeshError> {
  return Result.err(new MeshError(code, message, details));
}
