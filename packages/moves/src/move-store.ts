import {MeshError, STORE_CODES} from '@verbenabeam/core';
import type {Entry, Store} from '@verbenabeam/store';
import {err, ok} from 'true-myth/result';
import type {Result} from 'true-myth';
import {decodeRecord, encodeRecord, mergeRecords} from './move-record.js';
import type {MoveRecord} from './move-record.js';

/** A record, and the store revision that the next write compares. @internal */
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
 * Move records in the store, written only by compare-and-swap. When the outcome
 * of a write is unknown, the record is read again before the next write. Its
 * operation id then shows which write took effect.
 *
 * @internal
 */
export class MoveStore {
  readonly #store: Store;
  readonly #environment: string;
  readonly #records = new Map<string, StoredRecord>();
  /** Moves whose stored record must be read before the next write. */
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
    for (const entry of listed.value) this.#remember(entry);
    this.#stale.clear();
    return ok(true);
  }

  /**
   * Replaces the last known record, or creates it. Returns the stored record,
   * which differs from `record` when another controller wrote first.
   */
  async write(record: MoveRecord): Promise<Result<MoveRecord, MeshError>> {
    const {moveId} = record;
    if (this.#stale.has(moveId)) return this.#reload(moveId);
    const key = moveKey(this.#environment, moveId);
    const revision = this.#records.get(moveId)?.revision ?? 0;
    const outcome = await this.#store.txn({
      compares: [{key, revision}],
      puts: [{key, value: encodeRecord(record)}],
    });
    if (outcome.isErr) return this.#onWriteError(moveId, outcome.error);
    if (outcome.value.committed) {
      this.#records.set(moveId, {record, revision: outcome.value.revision});
      return ok(record);
    }
    for (const entry of outcome.value.current) this.#remember(entry);
    const current = this.get(moveId);
    if (current && outcome.value.current.length > 0) return ok(current);
    this.#records.delete(moveId);
    return err(conflict(moveId));
  }

  async #onWriteError(
    moveId: string,
    error: MeshError,
  ): Promise<Result<MoveRecord, MeshError>> {
    if (error.code.code !== STORE_CODES.unknownOutcome.code) return err(error);
    this.#stale.add(moveId);
    return this.#reload(moveId);
  }

  /** Reads the stored record, from which the caller plans again. */
  async #reload(moveId: string): Promise<Result<MoveRecord, MeshError>> {
    const read = await this.#store.get(moveKey(this.#environment, moveId));
    if (read.isErr) return err(read.error);
    this.#stale.delete(moveId);
    if (!read.value) {
      this.#records.delete(moveId);
      return err(conflict(moveId));
    }
    this.#remember(read.value);
    const current = this.get(moveId);
    return current ? ok(current) : err(conflict(moveId));
  }

  #remember(entry: Entry): void {
    const record = decodeRecord(entry.value);
    if (!record) return;
    const known = this.#records.get(record.moveId)?.record;
    // A store that was restored to an older state must not reopen a move that
    // has ended. The next write replaces the older record.
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
