import {Result} from 'true-myth';
import {MeshError, STORE_CODES} from '@verbenabeam/core';
import type {Snapshot} from '@verbenabeam/document';
import type {Entry} from '@verbenabeam/store';
import type {Draft} from './draft.js';
import {decodeJson, headRecordSchema} from './store-records.js';
import type {HeadRecord, VersionMetadata} from './store-records.js';

/** Decodes the head entry; null if there is none. @internal */
export function decodeHead(
  entry: Entry | null,
): Result<HeadRecord | null, MeshError> {
  return entry ? decodeJson(entry, headRecordSchema) : Result.ok(null);
}

/** Returns the version that an operation made, or null. @internal */
export function findOperation(
  head: HeadRecord | null,
  id: string,
): number | null {
  const found = head?.recentOperations.find(row => row.operationId === id);
  return found?.version ?? null;
}

/** False if the store was restored to a state before the base. @internal */
export function descends(
  head: HeadRecord | null,
  base: HeadRecord | null,
): boolean {
  return base === null || findOperation(head, base.operationId) !== null;
}

/**
 * A restored store does not show whether the change was applied before the
 * restore, so neither "accepted" nor "race lost" would be true for certain.
 *
 * @internal
 */
export function restored({operationId}: Draft): MeshError {
  const reason = 'the store was restored; the change may have been applied';
  return new MeshError(STORE_CODES.unknownOutcome, reason, {operationId});
}

/**
 * The change was applied, so a code that says "not run" would be false.
 *
 * @internal
 */
export function unreadable(
  {operationId}: Draft,
  version: number,
  err: MeshError,
): MeshError {
  const reason = `version ${version} was accepted but cannot be read`;
  const details = {operationId, version, cause: err.code.code};
  return new MeshError(STORE_CODES.unknownOutcome, reason, details);
}

/** The metadata of a head. @internal */
export function withoutOperations(head: HeadRecord): VersionMetadata {
  const {version, hash, operationId, author, acceptedAt, promotedFrom} = head;
  return {version, hash, operationId, author, acceptedAt, promotedFrom};
}

/** The version that a draft has become. @internal */
export function snapshotOf(draft: Draft, metadata: VersionMetadata): Snapshot {
  const {version, hash, acceptedAt} = metadata;
  const {environment, document} = draft;
  return Object.freeze({environment, version, hash, acceptedAt, document});
}
