import {Result} from 'true-myth';
import {CLAIM_CODES} from '@verbenabeam/core';
import type {MeshError} from '@verbenabeam/core';
import type {ClaimLimits} from './claim-limits.js';
import type {ClaimTable} from './claim-table.js';
import type {Append, Begin, Finish, Time} from './partition-types.js';
import {refusal, unavailable} from './refusals.js';

const recordOverheadBytes = 200;

/** Begins and finishes of one partition that wait for a record. @internal */
export class ClaimQueue {
  readonly #limits: ClaimLimits;
  #begins: Begin[] = [];
  #finishes: Finish[] = [];
  /** Finishes without a claim in a table that may be out of date. */
  #unmatched: Finish[] = [];

  constructor(limits: ClaimLimits) {
    this.#limits = limits;
  }

  /** True when nothing waits, apart from finishes that need a new list. */
  get isEmpty(): boolean {
    return this.#begins.length + this.#finishes.length === 0;
  }

  get hasUnmatched(): boolean {
    return this.#unmatched.length > 0;
  }

  begin(begin: Begin): void {
    if (this.#begins.length < this.#limits.maxPending) {
      this.#begins.push(begin);
      return;
    }
    const message = 'too many claims are waiting';
    begin.reply(refusal(CLAIM_CODES.limitReached, message));
  }

  finish(finish: Finish): void {
    const waiting = this.#finishes.length + this.#unmatched.length;
    if (waiting < this.#limits.maxPending) {
      this.#finishes.push(finish);
      return;
    }
    const message = 'too many finishes are waiting';
    finish.reply(refusal(CLAIM_CODES.limitReached, message));
  }

  /** Decides the unmatched finishes again, after a new list. */
  requeueUnmatched(): void {
    this.#finishes.unshift(...this.#unmatched.splice(0));
  }

  /**
   * Replies to what the recorded claims decide.
   *
   * @param listedAt - When the list that filled the table was requested.
   */
  answerKnown(table: ClaimTable, time: Time, listedAt: number): void {
    table.makeRoom(this.#limits.maxClaims, time.wall);
    const isFull = table.size >= this.#limits.maxClaims;
    const ended = this.#answerFinishes(table, listedAt, isFull);
    this.#answerBegins(table, time, ended);
    if (!isFull) return;
    const error = refusal(CLAIM_CODES.limitReached, 'the partition is full');
    for (const begin of this.#begins.splice(0)) begin.reply(error);
  }

  takeBegins(): Begin[] {
    return this.#begins.splice(0, this.#limits.maxBatch);
  }

  takeFinishes(): Finish[] {
    let bytes = 0;
    const limit = this.#limits.maxSegmentBytes;
    const count = this.#finishes.findIndex(({req}) => {
      bytes += recordOverheadBytes + (req.answer?.body.byteLength ?? 0);
      return bytes > limit;
    });
    return this.#finishes.splice(0, count < 0 ? this.#finishes.length : count);
  }

  /** Puts the requests of an append back that lost its sequence number. */
  restore({begins, finishes}: Append): void {
    this.#begins.unshift(...begins);
    this.#finishes.unshift(...finishes);
  }

  /**
   * The claims of refused begins stay recorded. Only the client may release
   * them: it may repeat the begin and be granted by the record.
   */
  refuseLate(append: Append, time: Time): void {
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

  refuseAll(error: MeshError): void {
    this.requeueUnmatched();
    for (const {reply} of this.#begins.splice(0)) reply(unavailable(error));
    for (const {reply} of this.#finishes.splice(0)) reply(Result.err(error));
  }

  /**
   * Keeps the finishes that need a record and returns the claims, with their
   * calls, that get one without a grant: a request that ran is recorded even if a restore of the
   * store has removed its grant.
   */
  #answerFinishes(
    table: ClaimTable,
    listedAt: number,
    isFull: boolean,
  ): Map<string, string> {
    const ended = new Map<string, string>();
    this.#finishes = this.#finishes.filter(finish => {
      const {claim, callId, outcome} = finish.req;
      const known = table.get(claim);
      if (known?.callId === callId && known.state === 'granted') return true;
      if (known?.callId === callId && outcome === 'ran') {
        finish.reply(Result.ok(true));
        return false;
      }
      if (known?.callId !== callId && finish.since > listedAt) {
        this.#unmatched.push(finish);
        return false;
      }
      const isFree = !known && (ended.get(claim) ?? callId) === callId;
      if (isFree && !isFull && outcome === 'ran') {
        ended.set(claim, callId);
        return true;
      }
      const message = 'the call does not hold the claim that it ends';
      finish.reply(refusal(CLAIM_CODES.notHeld, message, {claim, callId}));
      return false;
    });
    return ended;
  }

  #answerBegins(
    table: ClaimTable,
    time: Time,
    ended: Map<string, string>,
  ): void {
    const first = new Map<string, string>();
    this.#begins = this.#begins.filter(({req, reply}) => {
      const known = table.decide(req, time.wall);
      if (known) {
        reply(Result.ok(known));
        return false;
      }
      const holder = first.get(req.claim) ?? req.callId;
      first.set(req.claim, holder);
      if (holder === req.callId && !ended.has(req.claim)) return true;
      reply(Result.ok({state: 'inProgress'}));
      return false;
    });
  }
}
