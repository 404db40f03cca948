import {Result} from 'true-myth';
import type {Dispatcher} from 'undici';
import {logger, processRandom, systemClock} from '@verbenabeam/core';
import type {Clock, MeshError, RandomSource} from '@verbenabeam/core';
import {createMeteredAgent} from '@verbenabeam/http';
import type {z} from 'zod';
import {Breaker} from './breaker.js';
import type {BreakerOptions} from './breaker.js';
import {
  decodeEntry,
  encodeTxn,
  grantResponse,
  keepAliveResponse,
  keyRange,
  rangeResponse,
  revokeResponse,
  txnResponse,
} from './etcd-codec.js';
import {GRPC} from './etcd-errors.js';
import type {Failure} from './etcd-errors.js';
import {postJson} from './post-json.js';
import type {
  Entry,
  Store,
  StoreCallOptions,
  Txn,
  WatchOptions,
} from './store.js';
import type {StoreBudget} from './store-budget.js';
import {overBudget, unavailable, uncertain} from './store-errors.js';
import type {CallKind} from './store-errors.js';
import {StoreRevisions} from './store-revisions.js';
import {runWatch} from './watch-stream.js';

/** Options of {@link HttpStore}. @public */
export interface HttpStoreOptions {
  /** Base URLs of the gateway, in order of preference. */
  readonly endpoints: readonly string[];
  /** Limits the calls of this role. Default: no limit. */
  readonly budget?: StoreBudget;
  readonly breaker?: BreakerOptions;
  /** Gets the revision of each response. Default: one of its own. */
  readonly revisions?: StoreRevisions;
  /** Time limit of a call without its own, in milliseconds. Default 1,000. */
  readonly timeoutMs?: number;
  /** Time limit to connect to one endpoint. Default 300 ms. */
  readonly connectTimeoutMs?: number;
  /** Connections per endpoint; a waiting watch uses one. Default 8. */
  readonly connections?: number;
  /** A watch without data for this long is opened again. Default 5 s. */
  readonly watchIdleMs?: number;
  readonly clock?: Clock;
  /** Jitter of the breaker. Default: seeded by the process. */
  readonly random?: RandomSource;
}

const log = logger('store');
const defaultTimeoutMs = 1_000;
const defaultConnectTimeoutMs = 300;
const defaultConnections = 8;
/** Half of the time in which changes must be in force: the stream may be silent. */
const defaultWatchIdleMs = 5_000;
/** Largest reply in bytes: lists are not paged, and a value has at most 1 MB. */
const maxReplyBytes = 67_108_864;

interface Call {
  readonly kind: CallKind;
  readonly path: string;
  readonly body: unknown;
}

/**
 * Client of the etcd v3 JSON gateway. Reads are asked at each endpoint in turn;
 * a write goes to another endpoint only when it is known as not applied.
 *
 * @public
 */
export class HttpStore implements Store {
  readonly #endpoints: readonly string[];
  readonly #budget: StoreBudget | undefined;
  readonly #breaker: Breaker;
  readonly #timeoutMs: number;
  readonly #watchIdleMs: number;
  readonly #clock: Clock;
  readonly #random: RandomSource;
  readonly #agent: Dispatcher;
  /** The reply of a watch has no end; its lines have a largest size. */
  readonly #watchAgent: Dispatcher;
  readonly #revisions: StoreRevisions;
  #preferred = 0;

  constructor(options: HttpStoreOptions) {
    if (options.endpoints.length === 0) {
      throw new RangeError('the store needs at least one endpoint');
    }
    this.#endpoints = options.endpoints;
    this.#budget = options.budget;
    this.#breaker = new Breaker(options.breaker);
    this.#timeoutMs = options.timeoutMs ?? defaultTimeoutMs;
    this.#watchIdleMs = options.watchIdleMs ?? defaultWatchIdleMs;
    this.#clock = options.clock ?? systemClock;
    this.#random = options.random ?? processRandom();
    this.#revisions = options.revisions ?? new StoreRevisions();
    const agentOptions = {
      connections: options.connections ?? defaultConnections,
      pipelining: 1,
      connectTimeoutMs: options.connectTimeoutMs ?? defaultConnectTimeoutMs,
    };
    this.#agent = createMeteredAgent({
      ...agentOptions,
      maxResponseSize: maxReplyBytes,
    });
    this.#watchAgent = createMeteredAgent(agentOptions);
  }

  /** State of the circuit breaker, for status pages. */
  get breakerState() {
    return this.#breaker.state;
  }

  async get(key: string, options: StoreCallOptions = {}) {
    const entries = await this.#range(key, false, options);
    return entries.map(found => found[0] ?? null);
  }

  list(prefix: string, options: StoreCallOptions = {}) {
    return this.#range(prefix, true, options);
  }

  async txn(txn: Txn, options: StoreCallOptions = {}) {
    const call: Call = {
      kind: 'write',
      path: '/v3/kv/txn',
      body: encodeTxn(txn),
    };
    const sent = this.#revisions.view;
    const res = await this.#call(call, txnResponse, options);
    return res.map(({header, succeeded, responses}) => {
      this.#revisions.observe(sent, header.revision);
      if (succeeded) {
        return {committed: true as const, revision: header.revision};
      }
      const kvs = responses.flatMap(r => r.response_range?.kvs ?? []);
      return {committed: false as const, current: kvs.map(decodeEntry)};
    });
  }

  /** The gateway counts in whole seconds; the time to live is rounded up. */
  async grantLease(ttlMs: number, options: StoreCallOptions = {}) {
    const body = {ID: '0', TTL: String(Math.ceil(ttlMs / 1_000))};
    const call: Call = {kind: 'write', path: '/v3/lease/grant', body};
    const res = await this.#call(call, grantResponse, options);
    return res.map(grant => grant.ID);
  }

  async keepAlive(lease: string, options: StoreCallOptions = {}) {
    // A repeated renewal has no further effect, so it is safe as a read.
    const path = '/v3/lease/keepalive';
    const call: Call = {kind: 'read', path, body: {ID: lease}};
    const res = await this.#call(call, keepAliveResponse, options);
    return res.map(({result}) => result.TTL > 0);
  }

  async revoke(lease: string, options: StoreCallOptions = {}) {
    const path = '/v3/lease/revoke';
    const call: Call = {kind: 'write', path, body: {ID: lease}};
    const res = await this.#call(call, revokeResponse, options);
    if (res.isErr && res.error.details['grpcCode'] === GRPC.notFound) {
      return Result.ok<boolean, MeshError>(false);
    }
    return res.map(() => true);
  }

  async watch(options: WatchOptions): Promise<Result<true, MeshError>> {
    const refusal = this.#refusal();
    if (refusal) return Result.err(refusal);
    const ended = await runWatch(options, {
      dispatcher: this.#watchAgent,
      endpoint: this.#endpoints[this.#preferred] as string,
      connectTimeoutMs: this.#timeoutMs,
      idleMs: this.#watchIdleMs,
      onConnected: () => this.#breaker.onSuccess(),
      takeCall: () => this.#takeCall(),
    });
    if (ended.isErr) this.#onEndpointFailure(ended.error);
    return ended;
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await Promise.all([this.#agent.destroy(), this.#watchAgent.destroy()]);
  }

  async #range(
    key: string,
    prefix: boolean,
    options: StoreCallOptions,
  ): Promise<Result<readonly Entry[], MeshError>> {
    const body = keyRange(key, prefix);
    const call: Call = {kind: 'read', path: '/v3/kv/range', body};
    const sent = this.#revisions.view;
    const res = await this.#call(call, rangeResponse, options);
    return res.map(({header, kvs}) => {
      this.#revisions.observe(sent, header.revision);
      options.onRevision?.(header.revision);
      return kvs.map(decodeEntry);
    });
  }

  async #call<S extends z.ZodType>(
    call: Call,
    schema: S,
    options: StoreCallOptions,
  ): Promise<Result<z.output<S>, MeshError>> {
    const deadline = this.#clock.now() + (options.timeoutMs ?? this.#timeoutMs);
    const refusal = options.signal?.aborted
      ? unavailable('the call was aborted before it was sent')
      : this.#refusal();
    if (refusal) return Result.err(refusal);
    let error = unavailable('no endpoint was reached');
    for (let left = this.#endpoints.length; left > 0; left--) {
      const isFirst = left === this.#endpoints.length;
      const spent = isFirst ? null : this.#takeCall();
      if (spent) return Result.err(spent);
      const remainingMs = deadline - this.#clock.now();
      if (remainingMs <= 0) break;
      // A silent endpoint must leave time for a read at the others.
      const share = call.kind === 'read' ? left : 1;
      const res = await this.#attempt(
        call,
        schema,
        options,
        remainingMs / share,
      );
      if (res.isOk) return Result.ok(res.value);
      error = res.error.error;
      if (!res.error.retry) break;
    }
    return Result.err(error);
  }

  async #attempt<S extends z.ZodType>(
    call: Call,
    schema: S,
    options: StoreCallOptions,
    timeoutMs: number,
  ): Promise<Result<z.output<S>, Failure>> {
    const endpoint = this.#endpoints[this.#preferred] as string;
    const res = await postJson({
      ...call,
      url: `${endpoint}${call.path}`,
      dispatcher: this.#agent,
      timeoutMs,
      signal: options.signal,
    });
    if (res.isErr) {
      const failed = res.error.endpointFailed && !options.signal?.aborted;
      if (failed) this.#onEndpointFailure(res.error.error);
      else this.#breaker.onSuccess();
      return Result.err(res.error);
    }
    this.#breaker.onSuccess();
    const parsed = schema.safeParse(res.value);
    if (parsed.success) return Result.ok(parsed.data);
    const message = `unreadable response of ${call.path}`;
    const details = {issue: parsed.error.issues[0]?.message};
    return Result.err({
      error: uncertain(call.kind, message, details),
      retry: false,
      endpointFailed: false,
      grpcCode: null,
    });
  }

  #onEndpointFailure(error: MeshError): void {
    const endpoint = this.#endpoints[this.#preferred];
    this.#preferred = (this.#preferred + 1) % this.#endpoints.length;
    this.#breaker.onFailure(this.#clock.now(), this.#random);
    log('call failed', {
      endpoint,
      code: error.code.code,
      reason: error.message,
    });
  }

  /** Budget first: a call without budget must not use up the trial call. */
  #refusal(): MeshError | null {
    return this.#takeCall() ?? this.#breakerRefusal();
  }

  #takeCall(): MeshError | null {
    const budget = this.#budget;
    if (!budget || budget.tryTake(this.#clock.now())) return null;
    return overBudget(`role "${budget.role}" has no store calls left`);
  }

  #breakerRefusal(): MeshError | null {
    if (this.#breaker.allow(this.#clock.now())) return null;
    return unavailable('the circuit breaker of the store is open', {
      openUntil: this.#breaker.openUntil,
    });
  }
}
