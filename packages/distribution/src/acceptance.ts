import {Result} from 'true-myth';
import {MeshError, STORE_CODES, VERSION_CODES} from '@verbenabeam/core';
import type {Clock} from '@verbenabeam/core';
import {checkDeadlines, compile, diff} from '@verbenabeam/document';
import type {Change, CompiledDocument, Snapshot} from '@verbenabeam/document';
import {settledTxn} from '@verbenabeam/store';
import type {Entry, Sleep, Store, Txn} from '@verbenabeam/store';
import {checkBase, notReady} from './check-base.js';
import type {FleetView} from './distributor-options.js';
import {STORE_KEYS} from './store-keys.js';
import {decodeJson, headRecordSchema} from './store-records.js';
import type {HeadRecord, VersionMetadata} from './store-records.js';
import {VersionArchive} from './version-archive.js';
import {versionTxn} from './version-txn.js';

/**
 * Reads back after 100 ms, then after twice the wait before: 3.1 s in all. Each
 * head names the operations before it, so a changed head always decides; the
 * acceptance looks for its own operation there.
 */
const settleOptions = {
  attempts: 5,
  pauseMs: 100,
  backoff: 2,
  immutable: true,
  isOurs: () => false,
};

/** Parts of {@link Acceptance}. @public */
export interface AcceptanceOptions {
  readonly store: Store;
  readonly clock: Clock;
  /**
   * What the node knows of the fleet of an environment: null for another
   * environment, `unknown` before its start inquiry is complete.
   */
  readonly fleet: (environment: string) => FleetView | 'unknown' | null;
  /** Waits before an unknown outcome is read back. Default: the system's. */
  readonly sleep?: Sleep;
}

/** An operator's change. @public */
export interface Submission {
  readonly environment: string;
  readonly text: string;
  readonly author: string;
  /** Unique per change; a repeated submission with the same id is one change. */
  readonly operationId: string;
  /** Version that the operator edited; another head refuses the change. */
  readonly baseVersion?: number;
}

/** A promotion of a named trial version. @public */
export interface Promotion extends Omit<Submission, 'text'> {
  readonly from: {readonly environment: string; readonly version: number};
}

/** An accepted change. @public */
export interface Accepted {
  readonly metadata: VersionMetadata;
  readonly snapshot: Snapshot;
  readonly changes: readonly Change[];
}

interface Head {
  readonly entry: Entry | null;
  readonly record: HeadRecord | null;
}

/** A submission with its compiled document. */
interface Draft extends Submission {
  readonly document: CompiledDocument;
  readonly promotedFrom: VersionMetadata['promotedFrom'];
  /** A version that the new one must exceed although the store lacks it. */
  readonly above?: number;
}

/**
 * Accepts operators' changes by one transaction on the store.
 *
 * @public
 */
export class Acceptance {
  readonly #options: AcceptanceOptions;
  readonly #archive: VersionArchive;

  constructor(options: AcceptanceOptions) {
    this.#options = options;
    this.#archive = new VersionArchive(options.store);
  }

  /** Versions that were accepted before. */
  get archive(): VersionArchive {
    return this.#archive;
  }

  /**
   * Accepts a text as the next version. Errors: 11xx, 1202 (details: `winner`,
   * `changes`), 1204, 1205, 1210 and 13xx; 1302 names the operation id.
   */
  submit(submission: Submission): Promise<Result<Accepted, MeshError>> {
    return this.#accept(submission, null);
  }

  /** Accepts a version of another environment. Errors: 1209 and as `submit`. */
  async promote(promotion: Promotion): Promise<Result<Accepted, MeshError>> {
    const {environment, version} = promotion.from;
    const found = await this.#archive.read(environment, version);
    if (found.isErr) return Result.err(found.error);
    const {text} = found.value;
    return this.#accept({...promotion, text}, {environment, version});
  }

  /**
   * Writes the active document of the fleet above both the store's head and the
   * fleet's version. Operators use it after 1204 or 1205, when the store was
   * restored to an older state and refuses every submission.
   */
  async reassert(
    active: Snapshot,
    operator: Pick<Submission, 'author' | 'operationId'>,
  ): Promise<Result<Accepted, MeshError>> {
    const {environment, document} = active;
    const {text} = document;
    const draft = {...operator, environment, text, document};
    const head = await this.#readHead(environment);
    if (head.isErr) return Result.err(head.error);
    const fleet = this.#options.fleet(environment);
    if (fleet === 'unknown') return Result.err(notReady());
    const above = Math.max(active.version, fleet?.version ?? 0);
    return this.#acceptOn(head.value, {...draft, promotedFrom: null, above});
  }

  async #accept(
    submission: Submission,
    promotedFrom: VersionMetadata['promotedFrom'],
  ): Promise<Result<Accepted, MeshError>> {
    const {clock} = this.#options;
    const compiled = compile(submission.text).andThen(doc =>
      checkDeadlines(doc, clock.wallTime()),
    );
    if (compiled.isErr) return Result.err(compiled.error);
    const draft = {...submission, document: compiled.value, promotedFrom};
    const head = await this.#readHead(submission.environment);
    if (head.isErr) return Result.err(head.error);
    return this.#acceptOn(head.value, draft);
  }

  async #acceptOn(
    head: Head,
    draft: Draft,
  ): Promise<Result<Accepted, MeshError>> {
    const earlier = findOperation(head.record, draft.operationId);
    if (earlier !== null) return this.#acceptedBefore(draft, earlier);
    const fleet = this.#options.fleet(draft.environment);
    const base = checkBase(head.record, fleet);
    if (base.isErr && draft.above === undefined) return Result.err(base.error);
    const current = head.record?.version ?? 0;
    const isStale = (draft.baseVersion ?? current) !== current;
    if (isStale) return this.#raceLost(head.record, draft);
    const version = Math.max(current, draft.above ?? 0) + 1;
    const metadata = this.#metadata(draft, version);
    const txn = versionTxn(draft, metadata, head.record, head.entry?.revision);
    return this.#write(txn, draft, metadata, head.record);
  }

  async #write(
    txn: Txn,
    draft: Draft,
    metadata: VersionMetadata,
    base: HeadRecord | null,
  ): Promise<Result<Accepted, MeshError>> {
    const key = STORE_KEYS.head(draft.environment);
    const {store, sleep} = this.#options;
    const settle = {...settleOptions, witness: key, sleep};
    const outcome = await settledTxn(store, txn, settle);
    if (outcome.isErr) {
      const {code, message, details} = outcome.error;
      const {operationId} = draft;
      return Result.err(
        new MeshError(code, message, {...details, operationId}),
      );
    }
    if (outcome.value.committed) return this.#accepted(draft, metadata, base);
    const entry = outcome.value.current.find(row => row.key === key) ?? null;
    const winner = decodeHead(entry);
    if (winner.isErr) return Result.err(winner.error);
    // The first attempt may have been applied although its response was lost.
    const applied = findOperation(winner.value, draft.operationId);
    if (applied === metadata.version) {
      const snapshot = snapshotOf(draft, metadata);
      return Result.ok({metadata, changes: [], snapshot});
    }
    if (applied !== null) return this.#acceptedBefore(draft, applied);
    if (!descends(winner.value, base)) return Result.err(restored(draft));
    return this.#raceLost(winner.value, draft);
  }

  async #accepted(
    draft: Draft,
    metadata: VersionMetadata,
    base: HeadRecord | null,
  ): Promise<Result<Accepted, MeshError>> {
    const before = await this.#archive.document(draft.environment, base);
    const changes = before ? diff(before, draft.document) : [];
    return Result.ok({
      metadata,
      changes,
      snapshot: snapshotOf(draft, metadata),
    });
  }

  async #acceptedBefore(
    draft: Draft,
    version: number,
  ): Promise<Result<Accepted, MeshError>> {
    const found = await this.#archive.read(draft.environment, version);
    return found
      .map(({metadata}) => ({
        metadata,
        changes: [],
        snapshot: snapshotOf(draft, metadata),
      }))
      .mapErr(err => unreadable(draft, version, err));
  }

  async #raceLost(
    winner: HeadRecord | null,
    draft: Draft,
  ): Promise<Result<Accepted, MeshError>> {
    const code = VERSION_CODES.raceLost;
    const theirs = await this.#archive.document(draft.environment, winner);
    const changes = theirs ? diff(theirs, draft.document) : [];
    const metadata = winner && withoutOperations(winner);
    return Result.err(
      new MeshError(code, code.text, {winner: metadata, changes}),
    );
  }

  async #readHead(environment: string): Promise<Result<Head, MeshError>> {
    const got = await this.#options.store.get(STORE_KEYS.head(environment));
    return got.andThen(entry =>
      decodeHead(entry).map(record => ({entry, record})),
    );
  }

  #metadata(draft: Draft, version: number): VersionMetadata {
    const {operationId, author, promotedFrom} = draft;
    const {hash} = draft.document;
    const acceptedAt = this.#options.clock.wallTime();
    return {version, hash, operationId, author, acceptedAt, promotedFrom};
  }
}

function decodeHead(entry: Entry | null): Result<HeadRecord | null, MeshError> {
  return entry ? decodeJson(entry, headRecordSchema) : Result.ok(null);
}

function findOperation(head: HeadRecord | null, id: string): number | null {
  const found = head?.recentOperations.find(row => row.operationId === id);
  return found?.version ?? null;
}

/** False if the store was restored to a state before the base. */
function descends(head: HeadRecord | null, base: HeadRecord | null): boolean {
  return base === null || findOperation(head, base.operationId) !== null;
}

/**
 * A restored store does not show whether the change was applied before the
 * restore, so neither "accepted" nor "race lost" would be true for certain.
 */
function restored({operationId}: Draft): MeshError {
  const reason = 'the store was restored; the change may have been applied';
  return new MeshError(STORE_CODES.unknownOutcome, reason, {operationId});
}

/** The change was applied, so a code that says "not run" would be false. */
function unreadable(
  {operationId}: Draft,
  version: number,
  err: MeshError,
): MeshError {
  const reason = `version ${version} was accepted but cannot be read`;
  const details = {operationId, version, cause: err.code.code};
  return new MeshError(STORE_CODES.unknownOutcome, reason, details);
}

function withoutOperations(head: HeadRecord): VersionMetadata {
  const {version, hash, operationId, author, acceptedAt, promotedFrom} = head;
  return {version, hash, operationId, author, acceptedAt, promotedFrom};
}

function snapshotOf(draft: Draft, metadata: VersionMetadata): Snapshot {
  const {version, hash, acceptedAt} = metadata;
  const {environment, document} = draft;
  return Object.freeze({environment, version, hash, acceptedAt, document});
}
