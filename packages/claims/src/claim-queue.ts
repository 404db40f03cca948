import {Result} from 'true-myth';
import {CLAIM_CODES} from '@verbenabeam/core';
import type {MeshError} from '@verbenabeam/core';
import type {ClaimLimits} from './claim-limits.js';
import type {ClaimTable} from './claim-table.js';
import type {
  PendingAppend,
  PendingBegin,
  PendingFinish,
  Time,
} from './partition-types.js';
import {claimError, unavailableError} from './claim-errors.js';

const recordOverheadBytes = 200;

/** Begins and finishes of one partition without a reply yet. @internal */
export class ClaimQueue {
  readonly #limits: ClaimLimits;
  #begins: PendingBegin[] = [];
  #finishes: PendingFinish[] = [];
  /** Finishes whose claim is missing from a table that may be stale. */
  #unmatched: PendingFinish[] = [];

  constructor(limits: ClaimLimits) {
    this.#limits = limits;
  }

  /** True if nothing is pending apart from finishes that need a reload. */
  get isEmpty(): boolean {
    return this.#begins.length + this.#finishes.length === 0;
  }

  get hasUnmatched(): boolean {
    return this.#unmatched.length > 0;
  }

  begin(begin: PendingBegin): void {
    if (this.#begins.length < this.#limits.maxPending) {
      this.#begins.push(begin);
      return;
    }
    const message = 'too many pending begins in the partition';
    begin.reply(claimError(CLAIM_CODES.limitReached, message));
  }

  finish(finish: PendingFinish): void {
    const waiting = this.#finishes.length + this.#unmatched.length;
    if (waiting < this.#limits.maxPending) {
      this.#finishes.push(finish);
      return;
    }
    const message = 'too many pending finishes in the partition';
    finish.reply(claimError(CLAIM_CODES.limitReached, message));
  }

  /** Queues the unmatched finishes again, to decide them after a reload. */
  requeueUnmatched(): void {
    this.#finishes.unshift(...this.#unmatched.splice(0));
  }

  /**
   * Replies to the requests that the table decides. The others stay queued for
   * an append.
   *
   * @param listedAt - Monotonic time at which the table's segments were requested.
   */
  resolveFromTable(table: ClaimTable, time: Time, listedAt: number): void {
    table.evictExpiredIfFull(this.#limits.maxClaims, time.wall);
    const isFull = table.size >= this.#limits.maxClaims;
    const ungranted = this.#resolveFinishes(table, listedAt, isFull);
    this.#resolveBegins(table, time, ungranted);
    if (!isFull) return;
    const error = claimError(
      CLAIM_CODES.limitReached,
      'the partition has reached its maximum number of claims',
    );
    for (const begin of this.#begins.splice(0)) begin.reply(error);
  }

  takeBegins(): PendingBegin[] {
    return this.#begins.splice(0, this.#limits.maxSegmentBegins);
  }

  takeFinishes(): PendingFinish[] {
    let bytes = 0;
    const limit = this.#limits.maxSegmentFinishBytes;
    const count = this.#finishes.findIndex(({req}) => {
      bytes += recordOverheadBytes + (req.answer?.body.byteLength ?? 0);
      return bytes > limit;
    });
    return this.#finishes.splice(0, count < 0 ? this.#finishes.length : count);
  }

  /** Queues the requests of an append again after a conflict. */
  requeue({begins, finishes}: PendingAppend): void {
    this.#begins.unshift(...begins);
    this.#finishes.unshift(...finishes);
  }

  /**
   * Rejects begins that have waited too long, in the queue and in an append with
   * an unknown outcome. The append keeps their claims. Only the client may
   * release these, since it may repeat the begin and be granted the recorded
   * claim.
   */
  rejectTimedOut(append: PendingAppend, time: Time): void {
    const isTimedOut = (b: PendingBegin) =>
      time.now - b.arrivedAt > this.#limits.unknownOutcomeTimeoutMs;
    const timedOut = append.begins.filter(isTimedOut);
    append.begins = append.begins.filter(b => !isTimedOut(b));
    const timedOutInQueue = this.#begins.filter(isTimedOut);
    this.#begins = this.#begins.filter(b => !isTimedOut(b));
    const message = 'timed out waiting for the store to confirm a claim record';
    for (const {reply} of [...timedOut, ...timedOutInQueue]) {
      reply(claimError(CLAIM_CODES.unavailable, message));
    }
  }

  rejectAll(error: MeshError): void {
    this.requeueUnmatched();
    for (const {reply} of this.#begins.splice(0))
      reply(unavailableError(error));
    for (const {reply} of this.#finishes.splice(0)) reply(Result.err(error));
  }

  /**
   * Replies to the finishes that the table decides, and keeps those that need a
   * record. A call that ran is recorded even if a restore of the store has
   * removed its grant.
   *
   * @returns The call IDs of finishes without a grant, by claim.
   */
  #resolveFinishes(
    table: ClaimTable,
    listedAt: number,
    isFull: boolean,
  ): Map<string, string> {
    const ungranted = new Map<string, string>();
    this.#finishes = this.#finishes.filter(finish => {
      const {claim, callId, outcome} = finish.req;
      const known = table.get(claim);
      if (known?.callId === callId && known.state === 'granted') return true;
      if (known?.callId === callId && outcome === 'ran') {
        finish.reply(Result.ok(true));
        return false;
      }
      if (known?.callId !== callId && finish.arrivedAt > listedAt) {
        this.#unmatched.push(finish);
        return false;
      }
      const isFree = !known && (ungranted.get(claim) ?? callId) === callId;
      if (isFree && !isFull && outcome === 'ran') {
        ungranted.set(claim, callId);
        return true;
      }
      const message = 'the call does not hold the claim that it finishes';
      finish.reply(claimError(CLAIM_CODES.notHeld, message, {claim, callId}));
      return false;
    });
    return ungranted;
  }

  #resolveBegins(
    table: ClaimTable,
    time: Time,
    ungranted: Map<string, string>,
  ): void {
    const firstCallIds = new Map<string, string>();
    this.#begins = this.#begins.filter(({req, reply}) => {
      const known = table.decide(req, time.wall);
      if (known) {
        reply(Result.ok(known));
        return false;
      }
      const holder = firstCallIds.get(req.claim) ?? req.callId;
      firstCallIds.set(req.claim, holder);
      if (holder === req.callId && !ungranted.has(req.claim)) return true;
      reply(Result.ok({state: 'inProgress'}));
      return false;
    });
  }
}
