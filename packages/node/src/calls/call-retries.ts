import type {MeshError} from '@verbenabeam/core';
import {Deadline, retriesAfter, retriesToReport} from '@verbenabeam/routing';
import type {
  RetryBudget,
  RetryDecision,
  RetryAllowances,
} from '@verbenabeam/routing';
import {decodeLoad} from './call-head.js';
import {isNotRetryable, isUnreachable} from './code-classes.js';

/**
 * Unreachable instances that a call passes over without using a retry. They
 * bear no load from it, but each may cost it the time to connect.
 */
const maxUnreachable = 8;

/** The limits on retries that the calls of one node share. @internal */
export interface RetryLimits {
  readonly retries: RetryBudget;
  readonly ledger: RetryAllowances;
}

/** What the retries of one call depend on. @internal */
export interface CallRetriesOptions {
  readonly service: string;
  readonly idempotent: boolean;
  /** Deadline on the clock of `performance.now()`, in ms. */
  readonly deadlineAt: number;
  /** Call that the calling upstream serves, from `vb-call-id`. */
  readonly parentCallId: string | null;
  /** From `vb-retries-left`; used if the parent is unknown on this node. */
  readonly retriesLeft: number;
  /** Whether the upstream may use the retries for calls of its own. */
  readonly propagates: boolean;
}

/**
 * Retries of one call. They are borrowed from the parent call, passed to each
 * attempt, and what is left goes back to the parent at the end.
 *
 * One retry of two or more stays here: the report on the retries that were
 * passed is lost together with an instance, and the call may then be repeated
 * only with a retry that was not passed.
 *
 * @internal
 */
export class CallRetries {
  readonly #limits: RetryLimits;
  readonly #options: CallRetriesOptions;
  #held: number;
  #passed = 0;
  #unreachable = 0;
  #decision: RetryDecision = 'granted';

  constructor(limits: RetryLimits, options: CallRetriesOptions) {
    const {parentCallId, retriesLeft, service} = options;
    this.#limits = limits;
    this.#options = options;
    this.#held =
      parentCallId === null
        ? retriesLeft
        : limits.ledger.takeAll(parentCallId, retriesLeft);
    limits.retries.recordCall(service);
  }

  /** Retries for the `vb-retries-left` header of the response. */
  get remaining(): number {
    return retriesToReport(this.#decision, this.#held);
  }

  /** Takes the retries that go with the next attempt. */
  propagate(): number {
    if (!this.#options.propagates) return 0;
    this.#passed = this.#held > 1 ? this.#held - 1 : this.#held;
    this.#held -= this.#passed;
    return this.#passed;
  }

  /** Takes back what an answer reports. */
  onResponse(reported: number | undefined): void {
    this.#takeBack(false, reported);
  }

  /** Takes back what a failure left, and decides on another attempt. */
  takeRetry(err: MeshError): boolean {
    const {code, details} = err;
    const reported = details['retriesLeft'];
    const known = typeof reported === 'number' ? reported : undefined;
    // An upstream that passes on the refusal of a sub-call also says "not
    // run", but the sub-call may have used retries.
    this.#takeBack(code.notRun && known === undefined, known);
    if (isNotRetryable(code)) return false;
    if (isUnreachable(code) && this.#unreachable < maxUnreachable) {
      this.#unreachable++;
      return new Deadline(this.#options.deadlineAt).allows(
        performance.now(),
        0,
      );
    }
    const {service, idempotent, deadlineAt} = this.#options;
    this.#decision = this.#limits.retries.tryRetry(
      {
        service,
        retriesLeft: this.#held,
        deadline: new Deadline(deadlineAt),
        expectedMs: decodeLoad(details['load'])?.serviceMs ?? 0,
        notRun: code.notRun,
        idempotent,
        suspect: details['suspect'] === true,
      },
      performance.now(),
    );
    if (this.#decision !== 'granted') return false;
    this.#held--;
    return true;
  }

  /** Returns the rest to the parent call. */
  end(): void {
    const {parentCallId} = this.#options;
    if (parentCallId === null) return;
    this.#limits.ledger.returnUnused(parentCallId, this.remaining);
  }

  #takeBack(notRun: boolean, reported: number | undefined): void {
    this.#held += retriesAfter(this.#passed, notRun, reported);
    this.#passed = 0;
  }
}
