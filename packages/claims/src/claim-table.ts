import {INVARIANT_CODES} from '@verbenabeam/core';
import type {Invariants} from '@verbenabeam/core';
import type {BeginReply, BeginRequest} from './messages.js';
import type {ClaimRecord} from './segment.js';

interface Row {
  readonly record: ClaimRecord;
  /** Sequence number of the segment that holds the claim's latest record. */
  readonly sequence: number;
}

/** Limits of {@link ClaimTable}. @internal */
export interface ClaimTableLimits {
  readonly retentionMs: number;
  /** Maximum total size of stored responses; the oldest are evicted first. */
  readonly maxStoredResponseBytes: number;
}

/** In-memory claims of one partition, built from its segments. @internal */
export class ClaimTable {
  readonly #rows = new Map<string, Row>();
  readonly #claimsWithResponse: string[] = [];
  #responseBytes = 0;

  constructor(
    readonly limits: ClaimTableLimits,
    readonly invariants: Invariants,
  ) {}

  get size(): number {
    return this.#rows.size;
  }

  /** Reply to a begin if its claim is recorded; null if the claim is new. */
  decide(req: BeginRequest, wall: number): BeginReply | null {
    const record = this.#unexpired(req.claim, wall);
    if (!record) return null;
    if (record.state === 'ran') {
      return {state: 'finished', answer: record.answer};
    }
    if (record.callId === req.callId) return {state: 'granted'};
    const running = wall - record.grantedAt <= record.holdMs;
    return {state: running ? 'inProgress' : 'unknown'};
  }

  /** Latest record of a claim, also if it has expired. */
  get(claim: string): ClaimRecord | null {
    return this.#rows.get(claim)?.record ?? null;
  }

  /** Applies a committed record; records must come in log order. */
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
    this.#storeResponse(record);
  }

  /** Unexpired claims whose latest record is in a segment up to `sequence`. */
  recordsUpTo(sequence: number, wall: number): ClaimRecord[] {
    return [...this.#rows.values()]
      .filter(r => r.sequence <= sequence)
      .map(r => r.record)
      .filter(r => wall - r.grantedAt <= this.limits.retentionMs);
  }

  /** Removes claims that are past the retention if the table is full. */
  evictExpiredIfFull(maxClaims: number, wall: number): void {
    if (this.size < maxClaims) return;
    for (const claim of this.#rows.keys()) {
      if (!this.#unexpired(claim, wall)) this.#remove(claim);
    }
  }

  #unexpired(claim: string, wall: number): ClaimRecord | null {
    const record = this.#rows.get(claim)?.record;
    if (!record) return null;
    return wall - record.grantedAt > this.limits.retentionMs ? null : record;
  }

  #remove(claim: string): void {
    const row = this.#rows.get(claim);
    if (!row) return;
    this.#responseBytes -= row.record.answer?.body.byteLength ?? 0;
    this.#rows.delete(claim);
  }

  #storeResponse({claim, answer}: ClaimRecord): void {
    if (!answer) return;
    this.#responseBytes += answer.body.byteLength;
    this.#claimsWithResponse.push(claim);
    while (this.#responseBytes > this.limits.maxStoredResponseBytes) {
      const oldest = this.#claimsWithResponse.shift();
      if (oldest === undefined) return;
      const row = this.#rows.get(oldest);
      if (!row?.record.answer) continue;
      this.#responseBytes -= row.record.answer.body.byteLength;
      this.#rows.set(oldest, {...row, record: {...row.record, answer: null}});
    }
  }
}
