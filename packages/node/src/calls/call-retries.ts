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
 * Unreachable instances that a call may skip without using a retry. The skip puts no
 * load on an instance, but each may cost the time of a connection attempt.
 */
const maxUnreachableSkips = 8;

/** Retry limits that all calls of a node share. @internal */
export interface RetryLimits {
  readonly retries: RetryBudget;
  readonly ledger: RetryAllowances;
}

/** Properties of a call that limit its retries. @internal */
export interface CallRetriesOptions {
  readonly service: string;
  /** Whether only upstreams make calls of the route. */
  readonly isSubCall: boolean;
  readonly idempotent: boolean;
  /** Deadline on the clock of `performance.now()`, in ms. */
  readonly deadlineAt: number;
  /** Id of the call that the upstream ran when it made this call, from `vb-call-id`. */
  readonly parentCallId: string | null;
  /** From `vb-retries-left`; applies if this node does not know the parent call. */
  readonly retriesLeft: number;
  /** Whether the upstream may use the retries for its sub-calls. */
  readonly propagates: boolean;
}

/**
 * Retries of one call. The retries are borrowed from the parent call and propagated
 * with each attempt. At the end the unused retries return to the parent call.
 *
 * If there are two or more, one is not propagated. When an instance is lost, it
 * cannot report how many of the propagated retries were used, so only a retry that
 * was kept here can repeat the call.
 *
 * @internal
 */
export class CallRetries {
  readonly #limits: RetryLimits;
  readonly #options: CallRetriesOptions;
  #available: number;
  #propagated = 0;
  #unreachable = 0;
  #decision: RetryDecision = 'granted';

  constructor(limits: RetryLimits, options: CallRetriesOptions) {
    const {parentCallId, retriesLeft, service, isSubCall} = options;
    this.#limits = limits;
    this.#options = options;
    this.#available =
      parentCallId === null
        ? retriesLeft
        : limits.ledger.takeAll(parentCallId, retriesLeft);
    limits.retries.recordCall(service, isSubCall);
  }

  /** Retries to report in the `vb-retries-left` header of the response. */
  get remaining(): number {
    return retriesToReport(this.#decision, this.#available);
  }

  /** Reserves the retries that are propagated with the next attempt. */
  propagate(): number {
    if (!this.#options.propagates) return 0;
    this.#propagated =
      this.#available > 1 ? this.#available - 1 : this.#available;
    this.#available -= this.#propagated;
    return this.#propagated;
  }

  /** Reclaims the retries that a response reports as unused. */
  onResponse(reported: number | undefined): void {
    this.#reclaim(false, reported);
  }

  /** Reclaims unused retries after a failure. Returns whether to try again. */
  takeRetry(err: MeshError): boolean {
    const {code, details} = err;
    const reported = details['retriesLeft'];
    const known = typeof reported === 'number' ? reported : undefined;
    // An upstream also reports "not run" when it forwards the refusal of a
    // sub-call, and that sub-call may have used retries.
    this.#reclaim(code.notRun && known === undefined, known);
    if (isNotRetryable(code)) return false;
    if (isUnreachable(code) && this.#unreachable < maxUnreachableSkips) {
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
        retriesLeft: this.#available,
        deadline: new Deadline(deadlineAt),
        expectedMs: decodeLoad(details['load'])?.serviceMs ?? 0,
        notRun: code.notRun,
        idempotent,
        suspect: details['suspect'] === true,
      },
      performance.now(),
    );
    if (this.#decision !== 'granted') return false;
    this.#available--;
    return true;
  }

  /** Returns the unused retries to the parent call. */
  end(): void {
    const {parentCallId} = this.#options;
    if (parentCallId === null) return;
    this.#limits.ledger.returnUnused(parentCallId, this.remaining);
  }

  #reclaim(notRun: boolean, reported: number | undefined): void {
    this.#available += retriesAfter(this.#propagated, notRun, reported);
    this.#propagated = 0;
  }
}
