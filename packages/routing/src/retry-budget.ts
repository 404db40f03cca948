import type {Deadline} from './deadline.js';

/** Settings of {@link RetryBudget}. @public */
export interface RetryBudgetOptions {
  /** Tokens added per call: the retries per call in the long run; default 0.1. */
  readonly share?: number;
  /** The same for calls that upstreams make; default `share`. */
  readonly subCallShare?: number;
  /** Capacity of the token bucket of one service; default 10. */
  readonly burst?: number | (() => number);
}

/** Inputs to the decision whether to retry a call. @public */
export interface RetryRequest {
  readonly service: string;
  /** Retries left for the call, from `vb-retries-left`. */
  readonly retriesLeft: number;
  readonly deadline: Deadline;
  /** Expected time of one attempt in milliseconds. */
  readonly expectedMs: number;
  /** True when the failed attempt is known not to have run. */
  readonly notRun: boolean;
  /** True when the route allows the request to run twice. */
  readonly idempotent: boolean;
  /** True when the request is suspected of crashing upstreams. */
  readonly suspect: boolean;
}

/** Result of a retry request; `granted` has taken one token. @public */
export type RetryDecision =
  | 'granted'
  | 'mayHaveRun'
  | 'suspect'
  | 'noAttemptsLeft'
  | 'deadline'
  | 'budget';

/** Retries allowed for a call from outside the mesh. @public */
export const DEFAULT_RETRIES = 2;
/** Largest accepted value of the `vb-retries-left` header. @public */
export const MAX_RETRIES = 8;

const defaultShare = 0.1;
const defaultBurst = 10;

/**
 * Token bucket per service that limits retries to a share of its calls. There is
 * one per entry node; the configuration bounds the number of services.
 *
 * @public
 */
export class RetryBudget {
  readonly #share: number;
  readonly #subCallShare: number;
  readonly #burst: () => number;
  readonly #tokens = new Map<string, number>();

  constructor(options: RetryBudgetOptions = {}) {
    this.#share = options.share ?? defaultShare;
    this.#subCallShare = options.subCallShare ?? this.#share;
    const burst = options.burst ?? defaultBurst;
    this.#burst = typeof burst === 'number' ? () => burst : burst;
  }

  /** Counts a first attempt, which adds a fraction of a token. */
  recordCall(service: string, isSubCall = false): void {
    const share = isSubCall ? this.#subCallShare : this.#share;
    const tokens = this.tokens(service) + share;
    this.#tokens.set(service, Math.min(this.#burst(), tokens));
  }

  /** Tokens left for a service; a new service starts with a full bucket. */
  tokens(service: string): number {
    return this.#tokens.get(service) ?? this.#burst();
  }

  /** Decides on one retry and takes a token if it is granted. */
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

  /** Drops services that are no longer in the configuration. */
  retain(services: ReadonlySet<string>): void {
    for (const service of this.#tokens.keys()) {
      if (!services.has(service)) this.#tokens.delete(service);
    }
  }
}

/** Parses `vb-retries-left`; a missing or malformed value means the default. @public */
export function parseRetriesLeft(text: string | undefined): number {
  if (text === undefined || !/^\d{1,3}$/.test(text)) return DEFAULT_RETRIES;
  return Math.min(MAX_RETRIES, Number(text));
}

/**
 * Retries to report to the calling node. An exhausted budget means that many
 * calls of the service fail, so it reports 0: nodes further up the call chain
 * must not retry either.
 *
 * @public
 */
export function retriesToReport(last: RetryDecision, left: number): number {
  return last === 'budget' ? 0 : left;
}
