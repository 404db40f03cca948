/** How an environment weighs safety against speed. @public */
export const STRICTNESS = {
  careful: 'careful',
  balanced: 'balanced',
  fast: 'fast',
} as const;

/** One of the values of {@link STRICTNESS}. @public */
export type Strictness = (typeof STRICTNESS)[keyof typeof STRICTNESS];

/** A service and the upstream versions that operators named. @public */
export interface Service {
  readonly name: string;
  readonly versions: readonly string[];
  /** The version that takes all traffic outside a move. */
  readonly current: string;
  /** Path at which upstreams say whether they serve. */
  readonly healthPath?: string;
}

/** Whether calls of a non-idempotent route need an idempotency key. @public */
export type KeyRule = 'required' | 'optional';

/** A route with its service resolved. @public */
export interface Route {
  readonly name: string;
  readonly service: Service;
  /** Host header without port; null matches every host. */
  readonly host: string | null;
  readonly pathPrefix: string;
  /** Upper-case methods; null matches every method. */
  readonly methods: readonly string[] | null;
  readonly idempotent: boolean;
  readonly timeoutMs: number;
  readonly idempotencyKey: KeyRule;
  /** Services that share the calls by weight; default: all to `service`. */
  readonly split?: readonly WeightedService[];
  /** Upstreams that one call may be sent to; default: no limit of the route. */
  readonly maxAttempts?: number;
  /** Rank of the route; 0, the default, is the most urgent. */
  readonly priority?: number;
  /** Time within which an answer is as useful as an earlier one. */
  readonly targetLatencyMs?: number;
}

/** One part of a route whose calls are split. @public */
export interface WeightedService {
  readonly service: Service;
  readonly weight: number;
}

/** A planned move of a service from its current version to another. @public */
export interface Move {
  readonly id: string;
  readonly service: Service;
  readonly from: string;
  readonly to: string;
  /** Milliseconds since the Unix epoch; null starts on acceptance. */
  readonly startAt: number | null;
  /** Milliseconds since the Unix epoch. */
  readonly deadlineAt: number;
}

/** A compiled document; immutable, with every reference resolved. @public */
export interface CompiledDocument {
  /** The text as the operator submitted it. */
  readonly text: string;
  /** Hash of the canonical form. */
  readonly hash: string;
  readonly strictness: Strictness;
  /** Caller classes for metrics; any other caller counts as "other". */
  readonly callerClasses: readonly string[];
  readonly services: ReadonlyMap<string, Service>;
  /** Most specific route first. */
  readonly routes: readonly Route[];
  readonly moves: readonly Move[];
  /** Limits for callers; default: those of the node. */
  readonly callerLimits?: CallerLimits;
}

/** What callers may send, and how long they may take. @public */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  /** Longest time between two requests on a connection. */
  readonly idleTimeoutMs: number;
}

/** A version of an environment as nodes serve it. @public */
export interface Snapshot {
  readonly environment: string;
  /** Rises by one with each accepted document, from 1. */
  readonly version: number;
  readonly hash: string;
  /** Acceptance in milliseconds since the Unix epoch. */
  readonly acceptedAt: number;
  readonly document: CompiledDocument;
}
