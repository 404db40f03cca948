import type {MeshError} from '@verbenabeam/core';
import type {
  Entry,
  EraSource,
  Store,
  StoreCallOptions,
  Txn,
  TxnOutcome,
  WatchOptions,
} from '@verbenabeam/store';
import type {Result} from 'true-myth';

/** Receives the start and end of each store call. @internal */
export interface StoreCallListener {
  /** Called when a call or a watch begins. */
  began(): void;
  /** Called when a call ends, with its error if it failed. */
  ended?(err: MeshError | null): void;
}

/**
 * Forwards calls to a store and tracks whether the store is reachable.
 *
 * @internal
 */
export class StoreHealth implements Store {
  readonly #store: Store;
  readonly #listener: StoreCallListener;
  #reachable = true;

  constructor(store: Store, listener: StoreCallListener) {
    this.#store = store;
    this.#listener = listener;
  }

  get eras(): EraSource | undefined {
    return this.#store.eras;
  }

  /** False after a failed call, until the next call succeeds. */
  get reachable(): boolean {
    return this.#reachable;
  }

  get(key: string, options?: StoreCallOptions) {
    return this.#track<Entry | null>(this.#store.get(key, options));
  }

  list(prefix: string, options?: StoreCallOptions) {
    return this.#track<readonly Entry[]>(this.#store.list(prefix, options));
  }

  txn(txn: Txn, options?: StoreCallOptions) {
    return this.#track<TxnOutcome>(this.#store.txn(txn, options));
  }

  grantLease(ttlMs: number, options?: StoreCallOptions) {
    return this.#track<string>(this.#store.grantLease(ttlMs, options));
  }

  keepAlive(lease: string, options?: StoreCallOptions) {
    return this.#track<boolean>(this.#store.keepAlive(lease, options));
  }

  revoke(lease: string, options?: StoreCallOptions) {
    return this.#track<boolean>(this.#store.revoke(lease, options));
  }

  watch(options: WatchOptions) {
    this.#listener.began();
    return this.#store.watch(options);
  }

  async #track<T>(
    call: Promise<Result<T, MeshError>>,
  ): Promise<Result<T, MeshError>> {
    this.#listener.began();
    const outcome = await call;
    this.#reachable = outcome.isOk;
    this.#listener.ended?.(outcome.isErr ? outcome.error : null);
    return outcome;
  }
}
