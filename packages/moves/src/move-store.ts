import {MeshError, STORE_CODES} from '@verbenabeam/core';
import type {Entry, Store} from '@verbenabeam/store';
import {err, ok} from 'true-myth/result';
import type {Result} from 'true-myth';
import {decodeRecord, encodeRecord, mergeRecords} from './move-record.js';
import type {MoveRecord} from './move-record.js';

/** A record with the revision that the next change compares. @internal */
export interface StoredRecord {
  readonly record: MoveRecord;
  readonly revision: number;
}

/** Key of a move record. @public */
export function moveKey(environment: string, moveId: string): string {
  return `${movesPrefix(environment)}${moveId}`;
}

/** Prefix of all move records of an environment. @public */
export function movesPrefix(environment: string): string {
  return `/verbenabeam/env/${environment}/moves/`;
}

/**
 * Move records in the store, changed by compare-and-swap only. After an
 * unknown outcome a record is read again before it is changed again; its
 * operation id then tells whose change took effect.
 *
 * @internal
 */
export class MoveStore {
  readonly #store: Store;
  readonly #environment: string;
  readonly #records = new Map<string, StoredRecord>();
  /** Moves whose stored record must be read before the next change. */
  readonly #stale = new Set<string>();

  constructor(store: Store, environment: string) {
    this.#store = store;
    this.#environment = environment;
  }

  get(moveId: string): MoveRecord | null {
    return this.#records.get(moveId)?.record ?? null;
  }

  /** Reads all records. */
  async load(): Promise<Result<true, MeshError>> {
    const listed = await this.#store.list(movesPrefix(this.#environment));
    if (listed.isErr) return err(listed.error);
    for (const entry of listed.value) this.#adopt(entry);
    this.#stale.clear();
    return ok(true);
  }

  /**
   * Writes a record in place of the one known here, or creates it. Returns the
   * stored record, which is another one when another controller was faster.
   */
  async write(record: MoveRecord): Promise<Result<MoveRecord, MeshError>> {
    const {moveId} = record;
    if (this.#stale.has(moveId)) return this.#settle(moveId);
    const key = moveKey(this.#environment, moveId);
    const revision = this.#records.get(moveId)?.revision ?? 0;
    const outcome = await this.#store.txn({
      compares: [{key, revision}],
      puts: [{key, value: encodeRecord(record)}],
    });
    if (outcome.isErr) return this.#failed(moveId, outcome.error);
    if (outcome.value.committed) {
      this.#records.set(moveId, {record, revision: outcome.value.revision});
      return ok(record);
    }
    for (const entry of outcome.value.current) this.#adopt(entry);
    const current = this.get(moveId);
    if (current && outcome.value.current.length > 0) return ok(current);
    this.#records.delete(moveId);
    return err(conflict(moveId));
  }

  async #failed(
    moveId: string,
    error: MeshError,
  ): Promise<Result<MoveRecord, MeshError>> {
    if (error.code.code !== STORE_CODES.unknownOutcome.code) return err(error);
    this.#stale.add(moveId);
    return this.#settle(moveId);
  }

  /** Reads back; the caller plans anew from the record that it gets. */
  async #settle(moveId: string): Promise<Result<MoveRecord, MeshError>> {
    const read = await this.#store.get(moveKey(this.#environment, moveId));
    if (read.isErr) return err(read.error);
    this.#stale.delete(moveId);
    if (!read.value) {
      this.#records.delete(moveId);
      return err(conflict(moveId));
    }
    this.#adopt(read.value);
    const current = this.get(moveId);
    return current ? ok(current) : err(conflict(moveId));
  }

  #adopt(entry: Entry): void {
    const record = decodeRecord(entry.value);
    if (!record) return;
    const known = this.#records.get(record.moveId)?.record;
    // A store restored to an older state must not revive a decided move; the
    // next change then replaces the older record.
    const merged = known ? mergeRecords(record, known) : record;
    this.#records.set(record.moveId, {
      record: merged,
      revision: entry.revision,
    });
  }
}

function conflict(moveId: string): MeshError {
  return new MeshError(
    STORE_CODES.conflict,
    `the record of move "${moveId}" is missing in the store`,
    {moveId},
  );
}
