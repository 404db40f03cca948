import {INVARIANT_CODES} from '@verbenabeam/core';
import type {Invariants} from '@verbenabeam/core';
import type {BeginReply, BeginRequest} from './messages.js';
import type {ClaimRecord} from './segment.js';

interface Row {
  readonly record: ClaimRecord;
  /** Sequence number of the segment with the newest record of the claim. */
  readonly sequence: number;
}

/** @internal */
export interface ClaimTableLimits {
  readonly retentionMs: number;
  /** Memory for answers; the oldest are dropped first. */
  readonly maxAnswerBytes: number;
}

/** Claims of one partition, as its segments record them. @internal */
export class ClaimTable {
  readonly #rows = new Map<string, Row>();
  readonly #answered: string[] = [];
  #answerBytes = 0;

  constructor(
    readonly limits: ClaimTableLimits,
    readonly invariants: Invariants,
  ) {}

  get size(): number {
    return this.#rows.size;
  }

  /** Decides a begin from what is recorded; null means that it is new. */
  decide(req: BeginRequest, wall: number): BeginReply | null {
    const record = this.#live(req.claim, wall);
    if (!record) return null;
    if (record.state === 'ran') {
      return {state: 'finished', answer: record.answer};
    }
    if (record.callId === req.callId) return {state: 'granted'};
    const running = wall - record.grantedAt <= record.holdMs;
    return {state: running ? 'inProgress' : 'unknown'};
  }

  /** The recorded state of a claim, if any. */
  get(claim: string): ClaimRecord | null {
    return this.#rows.get(claim)?.record ?? null;
  }

  /** Applies a committed record in log order. */
  apply(record: ClaimRecord, sequence: number): void {
    const known = this.#rows.get(record.claim)?.record;
    const expired =
      known !== undefined &&
      record.grantedAt - known.grantedAt > this.limits.retentionMs;
    this.invariants.check(
      INVARIANT_CODES.ranTwice,
      !known || expired || known.callId === record.callId,
      {claim: record.claim, first: known?.callId, second: record.callId},
    );
    this.#remove(record.claim);
    if (record.state === 'released') return;
    this.#rows.set(record.claim, {record, sequence});
    this.#addAnswer(record);
  }

  /** Current records whose newest segment is one of those folded. */
  recordsUpTo(sequence: number, wall: number): ClaimRecord[] {
    return [...this.#rows.values()]
      .filter(r => r.sequence <= sequence)
      .map(r => r.record)
      .filter(r => wall - r.grantedAt <= this.limits.retentionMs);
  }

  /** Forgets claims older than the retention once the table is full. */
  makeRoom(maxClaims: number, wall: number): void {
    if (this.size < maxClaims) return;
    for (const claim of this.#rows.keys()) {
      if (!this.#live(claim, wall)) this.#remove(claim);
    }
  }

  #live(claim: string, wall: number): ClaimRecord | null {
    const record = this.#rows.get(claim)?.record;
    if (!record) return null;
    return wall - record.grantedAt > this.limits.retentionMs ? null : record;
  }

  #remove(claim: string): void {
    const row = this.#rows.get(claim);
    if (!row) return;
    this.#answerBytes -= row.record.answer?.body.byteLength ?? 0;
    this.#rows.delete(claim);
  }

  #addAnswer({claim, answer}: ClaimRecord): void {
    if (!answer) return;
    this.#answerBytes += answer.body.byteLength;
    this.#answered.push(claim);
    while (this.#answerBytes > this.limits.maxAnswerBytes) {
      const oldest = this.#answered.shift();
      if (oldest === undefined) return;
      const row = this.#rows.get(oldest);
      if (!row?.record.answer) continue;
      this.#answerBytes -= row.record.answer.body.byteLength;
      this.#rows.set(oldest, {...row, record: {...row.record, answer: null}});
    }
  }
}
