import type {MeshError} from '@verbenabeam/core';
import type {
  Entry,
  Store,
  StoreCallOptions,
  Txn,
  TxnOutcome,
  WatchOptions,
} from '@verbenabeam/store';
import type {Result} from 'true-myth';

/** Learns of the calls to the store. @internal */
export interface StoreCallListener {
  /** Called when a call or a watch begins. */
  began(): void;
  /** Called when a call ends; with the error of one that failed. */
  ended?(err: MeshError | null): void;
}

/** Passes calls on and notes whether the store responds. @internal */
export class StoreHealth implements Store {
  readonly #store: Store;
  readonly #listener: StoreCallListener;
  #reachable = true;

  constructor(store: Store, listener: StoreCallListener) {
    this.#store = store;
    this.#listener = listener;
  }

  /** False after a failed call, until the next one that succeeds. */
  get reachable(): boolean {
    return this.#reachable;
  }

  get(key: string, options?: StoreCallOptions) {
    return this.#note<Entry | null>(this.#store.get(key, options));
  }

  list(prefix: string, options?: StoreCallOptions) {
    return this.#note<readonly Entry[]>(this.#store.list(prefix, options));
  }

  txn(txn: Txn, options?: StoreCallOptions) {
    return this.#note<TxnOutcome>(this.#store.txn(txn, options));
  }

  grantLease(ttlMs: number, options?: StoreCallOptions) {
    return this.#note<string>(this.#store.grantLease(ttlMs, options));
  }

  keepAlive(lease: string, options?: StoreCallOptions) {
    return this.#note<boolean>(this.#store.keepAlive(lease, options));
  }

  revoke(lease: string, options?: StoreCallOptions) {
    return this.#note<boolean>(this.#store.revoke(lease, options));
  }

  watch(options: WatchOptions) {
    this.#listener.began();
    return this.#store.watch(options);
  }

  async #note<T>(
    call: Promise<Result<T, MeshError>>,
  ): Promise<Result<T, MeshError>> {
    this.#listener.began();
    const outcome = await call;
    this.#reachable = outcome.isOk;
    this.#listener.ended?.(outcome.isErr ? outcome.error : null);
    return outcome;
  }
}
