import type {Result} from 'true-myth';
import type {MeshError} from '@verbenabeam/core';
import type {EraSource} from './store-eras.js';

/**
 * One key with its value and revisions. All revisions of this interface are numbers of
 * `encodePosition`, which order across the eras of a store.
 *
 * @public
 */
export interface Entry {
  readonly key: string;
  readonly value: Uint8Array;
  /** Revision of the last change of this key; rises across the whole store. */
  readonly revision: number;
  /** Revision at which the key was created. */
  readonly createRevision: number;
  /** Id of the lease that the key ends with, if any. */
  readonly lease: string | null;
}

/** A condition of a transaction. Revision 0 means that the key is absent. @public */
export interface Compare {
  readonly key: string;
  readonly revision: number;
}

/** A write of a transaction. @public */
export interface Put {
  readonly key: string;
  readonly value: Uint8Array;
  readonly lease?: string;
}

/** The result of a transaction that the store decided. @public */
export type TxnOutcome =
  | {readonly committed: true; readonly revision: number}
  /** `current` holds the compared keys that exist. */
  | {readonly committed: false; readonly current: readonly Entry[]};

/** One change seen by a watch. @public */
export type WatchEvent =
  | {readonly type: 'put'; readonly entry: Entry}
  | {readonly type: 'delete'; readonly key: string; readonly revision: number};

/** Options of a store call. @public */
export interface StoreCallOptions {
  /** Time limit in milliseconds. Default 1,000. */
  readonly timeoutMs?: number;
  /** Time without a byte of the response, in ms. Default: only `timeoutMs`. */
  readonly silenceMs?: number;
  /**
   * Whether a read may show a state that is some seconds old. Such a read costs the
   * platform less; a store without such reads ignores this. Default false.
   */
  readonly mayBeStale?: boolean;
  readonly signal?: AbortSignal;
  /** Gets the store's revision at which a read was answered. */
  readonly onRevision?: (revision: number) => void;
}

/** A transaction: all writes are applied if all conditions hold. @public */
export interface Txn {
  readonly compares: readonly Compare[];
  readonly puts?: readonly Put[];
  /** Keys to delete. */
  readonly deletes?: readonly string[];
}

/** Time limits of one call of a watch. @public */
export interface WatchLimits {
  /** Longest time without a change until the store must respond, in ms. */
  readonly waitMs: number;
  /** Time beyond it after which the connection counts as silent, in ms. */
  readonly slackMs: number;
}

/** One call of a watch that makes one after the other. @public */
export interface WatchRound {
  /** Default: the store's own. */
  readonly limits?: WatchLimits;
  /** Ends this call; the watch goes on with the next one on a new connection. */
  readonly signal: AbortSignal;
}

/** A watch of one key, or of every key with a prefix. @public */
export interface WatchOptions {
  readonly key: string;
  /** Default false. */
  readonly prefix?: boolean;
  /** First revision to report; 0 means from now on. */
  readonly fromRevision: number;
  readonly onEvent: (event: WatchEvent) => void;
  /**
   * Called after changes of one key came together: they are written faster than
   * they are read. Only the last one of them is reported then. A store that
   * reports each change by itself does not call it.
   */
  readonly onBehind?: () => void;
  /**
   * Called before each call of a watch that consists of many. A store that streams
   * its watches does not call it.
   */
  readonly nextRound?: () => WatchRound;
  /** Ends the watch. */
  readonly signal: AbortSignal;
}

/**
 * The platform's key-value service. Errors: `store.unavailable` (known not
 * applied), `store.unknownOutcome` (may have been applied), `store.overBudget`.
 *
 * @public
 */
export interface Store {
  /** Eras of a store that may come back from a copy; undefined if it tells none. */
  readonly eras?: EraSource | undefined;
  get(
    key: string,
    options?: StoreCallOptions,
  ): Promise<Result<Entry | null, MeshError>>;
  /** Lists all keys with the prefix, in ascending key order. */
  list(
    prefix: string,
    options?: StoreCallOptions,
  ): Promise<Result<readonly Entry[], MeshError>>;
  txn(
    txn: Txn,
    options?: StoreCallOptions,
  ): Promise<Result<TxnOutcome, MeshError>>;
  /** Grants a lease and returns its id. */
  grantLease(
    ttlMs: number,
    options?: StoreCallOptions,
  ): Promise<Result<string, MeshError>>;
  /** Renews a lease. False means that it has expired. */
  keepAlive(
    lease: string,
    options?: StoreCallOptions,
  ): Promise<Result<boolean, MeshError>>;
  /** Ends a lease and deletes its keys. */
  revoke(
    lease: string,
    options?: StoreCallOptions,
  ): Promise<Result<boolean, MeshError>>;
  /** Runs until the signal aborts (ok) or the connection fails (error). */
  watch(options: WatchOptions): Promise<Result<true, MeshError>>;
}
