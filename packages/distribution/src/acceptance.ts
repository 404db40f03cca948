import {Result} from 'true-myth';
import {MeshError, VERSION_CODES} from '@verbenabeam/core';
import type {Clock} from '@verbenabeam/core';
import {
  checkDeadlines,
  compileInTurns,
  diffInTurns,
} from '@verbenabeam/document';
import type {
  Change,
  CompiledDocument,
  Pause,
  Snapshot,
} from '@verbenabeam/document';
import {settledTxn} from '@verbenabeam/store';
import type {Entry, Sleep, Store, Txn} from '@verbenabeam/store';
import {
  decodeHead,
  descends,
  findOperation,
  restored,
  snapshotOf,
  unreadable,
  withoutOperations,
} from './acceptance-outcome.js';
import {checkBase, notReady} from './check-base.js';
import type {Draft} from './draft.js';
import type {FleetView} from './distributor-options.js';
import {STORE_KEYS} from './store-keys.js';
import type {HeadRecord, VersionMetadata} from './store-records.js';
import type {Promotion, Submission} from './submission.js';
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
  /**
   * The active version of an environment. A change of it needs no read of its
   * base from the store. Default: none.
   */
  readonly active?: (environment: string) => Snapshot | null;
  /** Waits before an unknown outcome is read back. Default: the system's. */
  readonly sleep?: Sleep;
  /**
   * Waits between the turns in which a document is compiled and compared.
   * Default: the next turn of the event loop.
   */
  readonly pause?: Pause;
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
    this.#archive = new VersionArchive(options.store, options.pause);
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
    const {clock, pause} = this.#options;
    const made = await compileInTurns(submission.text, pause);
    const compiled = made.andThen(doc => checkDeadlines(doc, clock.wallTime()));
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
    const before = await this.#document(draft.environment, base);
    const changes = await this.#compare(before, draft.document);
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
    const theirs = await this.#document(draft.environment, winner);
    const changes = await this.#compare(theirs, draft.document);
    const metadata = winner && withoutOperations(winner);
    return Result.err(
      new MeshError(code, code.text, {winner: metadata, changes}),
    );
  }

  async #document(
    environment: string,
    row: HeadRecord | null,
  ): Promise<CompiledDocument | null> {
    const active = this.#options.active?.(environment);
    const isActive =
      active?.version === row?.version && active?.hash === row?.hash;
    if (active && isActive) return active.document;
    return this.#archive.document(environment, row);
  }

  async #compare(
    before: CompiledDocument | null,
    after: CompiledDocument,
  ): Promise<readonly Change[]> {
    return before ? diffInTurns(before, after, this.#options.pause) : [];
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
