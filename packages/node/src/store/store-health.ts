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

/** Called once for each call to the store. @internal */
export type StoreCallListener = () => void;

/** Passes calls on and notes whether the store responds. @internal */
export class StoreHealth implements Store {
  readonly #store: Store;
  readonly #onCall: StoreCallListener;
  #reachable = true;

  constructor(store: Store, onCall: StoreCallListener) {
    this.#store = store;
    this.#onCall = onCall;
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
    this.#onCall();
    return this.#store.watch(options);
  }

  async #note<T>(
    call: Promise<Result<T, MeshError>>,
  ): Promise<Result<T, MeshError>> {
    this.#onCall();
    const outcome = await call;
    this.#reachable = outcome.isOk;
    return outcome;
  }
}
