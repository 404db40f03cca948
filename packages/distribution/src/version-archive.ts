import {Result} from 'true-myth';
import {MeshError, VERSION_CODES} from '@verbenabeam/core';
import {compileInTurns, diffInTurns} from '@verbenabeam/document';
import type {Change, CompiledDocument, Pause} from '@verbenabeam/document';
import type {Store} from '@verbenabeam/store';
import {STORE_KEYS} from './store-keys.js';
import {
  decodeJson,
  decodeVersion,
  headRecordSchema,
  versionMetadataSchema,
} from './store-records.js';
import type {VersionMetadata, VersionRecord} from './store-records.js';

/** Options of a history. @public */
export interface HistoryOptions {
  /** Default 20. */
  readonly limit?: number;
}

const defaultLimit = 20;

/** Reads accepted versions from the store. @public */
export class VersionArchive {
  readonly #store: Store;
  readonly #pause: Pause | undefined;

  /** @param pause - Between the turns in which documents are compiled. */
  constructor(store: Store, pause?: Pause) {
    this.#store = store;
    this.#pause = pause;
  }

  /** Reads one version. Errors: 1209, 1212, 13xx. */
  async read(
    environment: string,
    version: number,
  ): Promise<Result<VersionRecord, MeshError>> {
    const got = await this.#store.get(STORE_KEYS.version(environment, version));
    return got.andThen(entry =>
      entry ? decodeVersion(entry) : unknownVersion(environment, version),
    );
  }

  /** Lists the metadata of the latest versions, newest first. */
  async history(
    environment: string,
    {limit = defaultLimit}: HistoryOptions = {},
  ): Promise<Result<readonly VersionMetadata[], MeshError>> {
    const got = await this.#store.get(STORE_KEYS.head(environment));
    if (got.isErr) return Result.err(got.error);
    if (!got.value) return Result.ok([]);
    const head = decodeJson(got.value, headRecordSchema);
    if (head.isErr) return Result.err(head.error);
    const rows: VersionMetadata[] = [];
    const oldest = Math.max(1, head.value.version - limit + 1);
    for (let at = head.value.version; at >= oldest; at--) {
      const row = await this.#metadata(environment, at);
      if (row.isErr) return Result.err(row.error);
      if (row.value) rows.push(row.value);
    }
    return Result.ok(rows);
  }

  /** Compares two versions of an environment. Errors: 1209, 1212, 11xx, 13xx. */
  async diff(
    environment: string,
    from: number,
    to: number,
  ): Promise<Result<readonly Change[], MeshError>> {
    const before = await this.read(environment, from);
    const after = await this.read(environment, to);
    if (before.isErr) return Result.err(before.error);
    if (after.isErr) return Result.err(after.error);
    const a = await compileInTurns(before.value.text, this.#pause);
    if (a.isErr) return Result.err(a.error);
    const b = await compileInTurns(after.value.text, this.#pause);
    if (b.isErr) return Result.err(b.error);
    return Result.ok(await diffInTurns(a.value, b.value, this.#pause));
  }

  /** Returns the document of a version, or null if it cannot be read. @internal */
  async document(
    environment: string,
    row: {readonly version: number} | null,
  ): Promise<CompiledDocument | null> {
    if (!row) return null;
    const found = await this.read(environment, row.version);
    if (found.isErr) return null;
    return (await compileInTurns(found.value.text, this.#pause)).unwrapOr(null);
  }

  async #metadata(
    environment: string,
    version: number,
  ): Promise<Result<VersionMetadata | null, MeshError>> {
    const got = await this.#store.get(STORE_KEYS.history(environment, version));
    return got.andThen<VersionMetadata | null>(entry =>
      entry ? decodeJson(entry, versionMetadataSchema) : Result.ok(null),
    );
  }
}

function unknownVersion(
  environment: string,
  version: number,
): Result<VersionRecord, MeshError> {
  const code = VERSION_CODES.unknownVersion;
  return Result.err(new MeshError(code, code.text, {environment, version}));
}
