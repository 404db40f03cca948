import type {Deadline} from './deadline.js';

/** Settings of {@link RetryBudget}. @public */
export interface RetryBudgetOptions {
  /** Retries per call in the long run; default 0.1. */
  readonly share?: number;
  /** Retries that may be saved up for one service; default 10. */
  readonly burst?: number | (() => number);
}

/** What decides whether one call may be sent again. @public */
export interface RetryRequest {
  readonly service: string;
  /** Retries that the call still has, from `vb-retries-left`. */
  readonly retriesLeft: number;
  readonly deadline: Deadline;
  /** Expected time of one attempt in milliseconds. */
  readonly expectedMs: number;
  /** True when the failed attempt is known not to have run. */
  readonly notRun: boolean;
  /** True when the route allows a request to run twice. */
  readonly idempotent: boolean;
  /** True when the request is suspected of crashing upstreams. */
  readonly suspect: boolean;
}

/** Why a retry is granted or not; `granted` has taken one token. @public */
export type RetryDecision =
  | 'granted'
  | 'mayHaveRun'
  | 'suspect'
  | 'noAttemptsLeft'
  | 'deadline'
  | 'budget';

/** Retries of a call that comes from outside the mesh. @public */
export const DEFAULT_RETRIES = 2;
/** Largest accepted value of the `vb-retries-left` header. @public */
export const MAX_RETRIES = 8;

const defaultShare = 0.1;
const defaultBurst = 10;

/**
 * Limits retries to a share of the calls of each service. One instance per
 * entry node; the number of services is bounded by the configuration.
 *
 * @public
 */
export class RetryBudget {
  readonly #share: number;
  readonly #burst: () => number;
  readonly #tokens = new Map<string, number>();

  constructor(options: RetryBudgetOptions = {}) {
    this.#share = options.share ?? defaultShare;
    const burst = options.burst ?? defaultBurst;
    this.#burst = typeof burst === 'number' ? () => burst : burst;
  }

  /** Counts a first attempt, which earns a share of a retry. */
  recordCall(service: string): void {
    const tokens = this.tokens(service) + this.#share;
    this.#tokens.set(service, Math.min(this.#burst(), tokens));
  }

  /** Tokens of a service; a new service starts with a full bucket. */
  tokens(service: string): number {
    return this.#tokens.get(service) ?? this.#burst();
  }

  /** Decides on one retry and takes a token when it is granted. */
  tryRetry(request: RetryRequest, now: number): RetryDecision {
    if (!request.notRun && !request.idempotent) return 'mayHaveRun';
    if (request.suspect && !request.notRun) return 'suspect';
    if (request.retriesLeft < 1) return 'noAttemptsLeft';
    if (!request.deadline.allows(now, request.expectedMs)) return 'deadline';
    const tokens = this.tokens(request.service);
    if (tokens < 1) return 'budget';
    this.#tokens.set(request.service, tokens - 1);
    return 'granted';
  }

  /** Forgets services that the configuration no longer names. */
  retain(services: ReadonlySet<string>): void {
    for (const service of this.#tokens.keys()) {
      if (!services.has(service)) this.#tokens.delete(service);
    }
  }
}

/** Reads `vb-retries-left`; a missing or malformed value means the default. @public */
export function parseRetriesLeft(text: string | undefined): number {
  if (text === undefined || !/^\d{1,3}$/.test(text)) return DEFAULT_RETRIES;
  return Math.min(MAX_RETRIES, Number(text));
}

/**
 * Retries to report to the calling node. An exhausted budget means that many
 * calls of the service fail, so the levels above must not retry either.
 *
 * @public
 */
export function retriesToReport(last: RetryDecision, left: number): number {
  return last === 'budget' ? 0 : left;
}
