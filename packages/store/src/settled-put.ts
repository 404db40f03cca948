import {Result} from 'true-myth';
import type {MeshError} from '@verbenabeam/core';
import type {Entry, Store, StoreCallOptions, Txn, TxnOutcome} from './store.js';
import {isUnknownOutcome, rejected, unknownOutcome} from './store-errors.js';
import {systemSleep} from './sleep.js';
import type {Sleep} from './sleep.js';

/** How an unknown outcome is settled. @public */
export interface SettleOptions extends StoreCallOptions {
  /**
   * Key that the transaction compares and puts, so that at most one copy of the
   * transaction can commit.
   */
  readonly witness: string;
  /** True when the value of the witness was written by this operation. */
  readonly isOurs: (value: Uint8Array) => boolean;
  /**
   * True when a foreign value of the witness shows that this operation did not
   * commit, or lets the caller find that out: nothing overwrites the witness,
   * or each value names the operations before it. Default false.
   */
  readonly immutable?: boolean;
  /** Reads back at most this often. Default 5. */
  readonly attempts?: number;
  /** Wait before the first read, in milliseconds. Default 50. */
  readonly pauseMs?: number;
  /** Factor from one wait to the next. Default 1. */
  readonly backoff?: number;
  readonly sleep?: Sleep;
}

type Outcome = Result<TxnOutcome, MeshError>;
type Settled = Outcome | 'unchanged';

const defaultAttempts = 5;
const defaultPauseMs = 50;

/**
 * Runs a transaction and settles an unknown outcome by reading the witness
 * back. The transaction is sent again only after a read that shows the witness
 * unchanged; its comparison then lets at most one copy commit, even if the
 * first copy is still in transit. `store.unknownOutcome` remains when the store
 * does not respond, or when another writer has already replaced the witness.
 *
 * @public
 */
export async function settledTxn(
  store: Store,
  txn: Txn,
  options: SettleOptions,
): Promise<Outcome> {
  const compare = txn.compares.find(c => c.key === options.witness);
  const isPut = txn.puts?.some(p => p.key === options.witness) ?? false;
  if (!compare || !isPut) {
    const message = `witness "${options.witness}" is not compared and put`;
    return Result.err(rejected(message));
  }
  const first = await store.txn(txn, options);
  if (first.isOk || !isUnknownOutcome(first.error)) return first;
  const attempts = options.attempts ?? defaultAttempts;
  for (let i = 0; i < attempts && !options.signal?.aborted; i++) {
    const firstMs = options.pauseMs ?? defaultPauseMs;
    const pauseMs = firstMs * (options.backoff ?? 1) ** i;
    await (options.sleep ?? systemSleep)(pauseMs, options.signal);
    const read = await store.get(options.witness, options);
    if (read.isErr) continue;
    const settled = classify(read.value, compare.revision, options);
    if (settled !== 'unchanged') return settled;
    const again = await store.txn(txn, options);
    if (again.isErr) continue;
    if (again.value.committed) return again;
    const conflict = classifyConflict(again.value.current, compare, options);
    if (conflict !== 'unchanged') return conflict;
    return again;
  }
  return first;
}

function classifyConflict(
  current: readonly Entry[],
  compare: {key: string; revision: number},
  options: SettleOptions,
): Settled {
  const entry = current.find(e => e.key === compare.key) ?? null;
  return classify(entry, compare.revision, options);
}

function classify(
  entry: Entry | null,
  comparedRevision: number,
  options: SettleOptions,
): Settled {
  if (entry && options.isOurs(entry.value)) {
    return Result.ok({committed: true, revision: entry.revision});
  }
  if ((entry?.revision ?? 0) === comparedRevision) return 'unchanged';
  // A foreign value in a mutable key may have replaced our committed write.
  if (entry && options.immutable) {
    return Result.ok({committed: false, current: [entry]});
  }
  const message = `key "${options.witness}" was replaced before it was read back`;
  return Result.err(unknownOutcome(message, {revision: entry?.revision ?? 0}));
}

/** A single write that carries its operation id. @public */
export interface SettledPut {
  readonly key: string;
  /** Revision that the key must have; 0 means absent. */
  readonly revision: number;
  /** Stored as JSON together with the operation id. */
  readonly body: Readonly<Record<string, unknown>>;
  readonly operationId: string;
  readonly lease?: string;
}

/** Writes one JSON value by compare-and-swap; see {@link settledTxn}. @public */
export function settledPut(
  store: Store,
  put: SettledPut,
  options: Omit<SettleOptions, 'witness' | 'isOurs'> = {},
): Promise<Outcome> {
  const {key, revision, operationId, lease} = put;
  const value = Buffer.from(JSON.stringify({...put.body, operationId}));
  return settledTxn(
    store,
    {compares: [{key, revision}], puts: [{key, value, lease}]},
    {
      ...options,
      witness: key,
      isOurs: bytes => readOperationId(bytes) === operationId,
    },
  );
}

/** Returns the operation id of a JSON value, or null. @public */
export function readOperationId(value: Uint8Array): string | null {
  try {
    const body: unknown = JSON.parse(Buffer.from(value).toString('utf8'));
    if (typeof body !== 'object' || body === null) return null;
    const id = (body as {operationId?: unknown}).operationId;
    return typeof id === 'string' ? id : null;
  } catch {
    return null;
  }
}
