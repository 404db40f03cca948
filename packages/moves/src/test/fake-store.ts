import {MeshError, STORE_CODES} from '@verbenabeam/core';
import type {Entry, Store, Txn, TxnOutcome} from '@verbenabeam/store';
import {err, ok} from 'true-myth/result';
import type {Result} from 'true-myth';

/** Fault of a write. */
type WriteFault = 'lostResponse' | 'lostRequest';

/**
 * In-memory store for tests of the controller. It has compare-and-swap, leases
 * without expiry by time, outages, and writes with unknown outcome.
 *
 * @internal
 */
export class FakeStore implements Store {
  /** While true, every call fails with `unavailable`. */
  down = false;
  /** Faults of the next transactions, in order. */
  readonly writeFaults: WriteFault[] = [];
  /** All committed values, in order. */
  readonly committed: Uint8Array[] = [];
  readonly #entries = new Map<string, Entry>();
  readonly #leases = new Set<string>();
  #revision = 0;
  #nextLease = 1;

  /** Ends a lease as if it had expired. */
  expire(lease: string): void {
    this.#leases.delete(lease);
    for (const [key, entry] of this.#entries) {
      if (entry.lease === lease) this.#entries.delete(key);
    }
  }

  /** Ends all leases. */
  expireAll(): void {
    for (const lease of [...this.#leases]) this.expire(lease);
  }

  get(key: string): Promise<Result<Entry | null, MeshError>> {
    return this.#answer(() => this.#entries.get(key) ?? null);
  }

  list(prefix: string): Promise<Result<readonly Entry[], MeshError>> {
    return this.#answer(() =>
      [...this.#entries.values()]
        .filter(e => e.key.startsWith(prefix))
        .sort((a, b) => (a.key < b.key ? -1 : 1)),
    );
  }

  txn(txn: Txn): Promise<Result<TxnOutcome, MeshError>> {
    const fault = this.down ? undefined : this.writeFaults.shift();
    if (fault === 'lostResponse') this.#apply(txn);
    if (fault) return Promise.resolve(err(unknownOutcome()));
    return this.#answer(() => this.#apply(txn));
  }

  grantLease(): Promise<Result<string, MeshError>> {
    return this.#answer(() => {
      const lease = String(this.#nextLease++);
      this.#leases.add(lease);
      return lease;
    });
  }

  keepAlive(lease: string): Promise<Result<boolean, MeshError>> {
    return this.#answer(() => this.#leases.has(lease));
  }

  revoke(lease: string): Promise<Result<boolean, MeshError>> {
    return this.#answer(() => {
      const held = this.#leases.has(lease);
      this.expire(lease);
      return held;
    });
  }

  watch(): Promise<Result<true, MeshError>> {
    return this.#answer((): true => true);
  }

  #apply(txn: Txn): TxnOutcome {
    const holds = txn.compares.every(
      c => (this.#entries.get(c.key)?.revision ?? 0) === c.revision,
    );
    if (!holds) {
      const current = txn.compares.flatMap(c => this.#entries.get(c.key) ?? []);
      return {committed: false, current};
    }
    const revision = ++this.#revision;
    for (const {key, value, lease} of txn.puts ?? []) {
      const createRevision = this.#entries.get(key)?.createRevision ?? revision;
      const entry = {
        key,
        value,
        revision,
        createRevision,
        lease: lease ?? null,
      };
      this.#entries.set(key, entry);
      this.committed.push(value);
    }
    for (const key of txn.deletes ?? []) this.#entries.delete(key);
    return {committed: true, revision};
  }

  #answer<T>(run: () => T): Promise<Result<T, MeshError>> {
    if (!this.down) return Promise.resolve(ok(run()));
    const {unavailable} = STORE_CODES;
    return Promise.resolve(err(new MeshError(unavailable, unavailable.text)));
  }
}

function unknownOutcome(): MeshError {
  const code = STORE_CODES.unknownOutcome;
  return new MeshError(code, code.text);
}
