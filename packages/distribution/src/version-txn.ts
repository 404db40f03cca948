import type {Txn} from '@verbenabeam/store';
import {STORE_KEYS} from './store-keys.js';
import {encodeJson, encodeVersion} from './store-records.js';
import type {HeadRecord, VersionMetadata} from './store-records.js';

/** Operations by which a late repetition is recognised. */
const maxRecentOperations = 64;
/** Texts kept in the store: at 10 KB each, 5 MB per environment. */
const maxKeptVersions = 500;

/** Builds the transaction that accepts a version. @internal */
export function versionTxn(
  draft: {readonly environment: string; readonly text: string},
  metadata: VersionMetadata,
  base: HeadRecord | null,
  baseRevision = 0,
): Txn {
  const {environment, text} = draft;
  const {version} = metadata;
  const head = STORE_KEYS.head(environment);
  const expired = version - maxKeptVersions;
  return {
    compares: [{key: head, revision: baseRevision}],
    puts: [
      {
        key: STORE_KEYS.version(environment, version),
        value: encodeVersion({metadata, text}),
      },
      {
        key: STORE_KEYS.history(environment, version),
        value: encodeJson(metadata),
      },
      {key: head, value: encodeJson(nextHead(metadata, base))},
    ],
    deletes: expired > 0 ? [STORE_KEYS.version(environment, expired)] : [],
  };
}

function nextHead(
  metadata: VersionMetadata,
  base: HeadRecord | null,
): HeadRecord {
  const {operationId, version} = metadata;
  const earlier = base?.recentOperations ?? [];
  const recentOperations = [{operationId, version}, ...earlier];
  return {
    ...metadata,
    recentOperations: recentOperations.slice(0, maxRecentOperations),
  };
}
