import {setTimeout as sleep} from 'node:timers/promises';
import {Result} from 'true-myth';
import {STORE_CODES} from '@verbenabeam/core';
import type {MeshError} from '@verbenabeam/core';
import type {Entry, Store, Txn, TxnOutcome} from '@verbenabeam/store';

/** How to settle unknown outcomes. @public */
export interface SettleOptions {
  /** Attempts to read back. Default 5. */
  readonly settleAttempts?: number;
  /** First wait in milliseconds; doubles with each attempt. Default 100. */
  readonly settleWaitMs?: number;
  /** Waits; tests replace it. */
  readonly wait?: (ms: number) => Promise<unknown>;
}

/**
 * Runs a transaction and settles an unknown outcome by reading back. The
 * compares must include a key that the transaction puts: then it takes effect
 * at most once, and it is sent again only after a read shows that key
 * unchanged. A conflict may stem from the transaction itself; the caller looks
 * for its operation id in `current`.
 *
 * @internal
 */
export async function settledTxn(
  store: Store,
  txn: Txn,
  options: SettleOptions,
): Promise<Result<TxnOutcome, MeshError>> {
  const {settleAttempts = 5, settleWaitMs = 100, wait = sleep} = options;
  let outcome = await store.txn(txn);
  for (let attempt = 0; attempt < settleAttempts; attempt++) {
    if (!isUnknown(outcome)) return outcome;
    await wait(settleWaitMs * 2 ** attempt);
    const current = await readCompared(store, txn);
    if (current.isErr) continue;
    if (isChanged(txn, current.value)) {
      return Result.ok({committed: false, current: current.value});
    }
    const again = await store.txn(txn);
    // The first attempt is still unknown if this one did not reach the store.
    if (again.isOk) outcome = again;
  }
  return outcome;
}

function isUnknown(outcome: Result<TxnOutcome, MeshError>): boolean {
  return outcome.isErr && outcome.error.code === STORE_CODES.unknownOutcome;
}

async function readCompared(
  store: Store,
  txn: Txn,
): Promise<Result<readonly Entry[], MeshError>> {
  const entries: Entry[] = [];
  for (const {key} of txn.compares) {
    const got = await store.get(key);
    if (got.isErr) return Result.err(got.error);
    if (got.value) entries.push(got.value);
  }
  return Result.ok(entries);
}

function isChanged(txn: Txn, current: readonly Entry[]): boolean {
  return txn.compares.some(({key, revision}) => {
    const entry = current.find(row => row.key === key);
    return (entry?.revision ?? 0) !== revision;
  });
}
