import type {Clock} from '@verbenabeam/core';
import {Deadline, RetryBudget} from '@verbenabeam/routing';
import type {RetryBudgetPort} from '../calls/index.js';

/** Options of a {@link RetryAdapter}. @internal */
export interface RetryAdapterOptions {
  readonly clock: Clock;
  /** Retries per call in the long run, 0 to 1. */
  readonly share: number;
}

/** Limits retries to a share of the calls of each service. @internal */
export class RetryAdapter implements RetryBudgetPort {
  readonly #clock: Clock;
  readonly #budget: RetryBudget;

  constructor({clock, share}: RetryAdapterOptions) {
    this.#clock = clock;
    this.#budget = new RetryBudget({share});
  }

  onCall(service: string): void {
    this.#budget.recordCall(service);
  }

  /** The caller has checked the rest: outcome, attempts and deadline. */
  tryRetry(service: string): boolean {
    const decision = this.#budget.tryRetry(
      {
        service,
        retriesLeft: 1,
        deadline: new Deadline(Infinity),
        expectedMs: 0,
        notRun: true,
        idempotent: true,
        suspect: false,
      },
      this.#clock.now(),
    );
    return decision === 'granted';
  }
}
