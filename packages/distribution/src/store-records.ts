import {Result} from 'true-myth';
import * as z from 'zod';
import {MeshError, parseJson, VERSION_CODES} from '@verbenabeam/core';
import type {Entry} from '@verbenabeam/store';

/** Validator of {@link VersionMetadata}. @public */
export const versionMetadataSchema = z.object({
  version: z.int().positive(),
  hash: z.string(),
  operationId: z.string(),
  author: z.string(),
  /** Milliseconds since the Unix epoch. */
  acceptedAt: z.number(),
  /** The trial version that was promoted, or null. */
  promotedFrom: z
    .object({environment: z.string(), version: z.int().positive()})
    .nullable(),
});

/** Who accepted a version, when and from where. @public */
export type VersionMetadata = Readonly<z.output<typeof versionMetadataSchema>>;

/** Validator of {@link HeadRecord}. @public */
export const headRecordSchema = versionMetadataSchema.extend({
  /** Latest operations, newest first; recognises a repeated operation. */
  recentOperations: z.array(
    z.object({operationId: z.string(), version: z.int().positive()}),
  ),
});

/** Value of the head key. @public */
export type HeadRecord = Readonly<z.output<typeof headRecordSchema>>;

/** Value of a version key. @public */
export interface VersionRecord {
  readonly metadata: VersionMetadata;
  readonly text: string;
}

const encoder = new TextEncoder();
const decoder = new TextDecoder();
const lineFeed = 10;

/** Encodes a head or history record. @internal */
export function encodeJson(value: unknown): Uint8Array {
  return encoder.encode(JSON.stringify(value));
}

/** Decodes a head or history record. Error: `versions.corruptRecord`. @internal */
export function decodeJson<T>(
  entry: Entry,
  schema: z.ZodType<T>,
): Result<T, MeshError> {
  return decodeBytes(entry.key, entry.value, schema);
}

/**
 * Encodes a version as a line of metadata and the plain text. JSON escapes
 * would lift a text near the limit over the 1 MB that the store accepts.
 *
 * @internal
 */
export function encodeVersion(record: VersionRecord): Uint8Array {
  const {metadata, text} = record;
  return encoder.encode(`${JSON.stringify(metadata)}\n${text}`);
}

/** Decodes a version. Error: `versions.corruptRecord`. @internal */
export function decodeVersion(entry: Entry): Result<VersionRecord, MeshError> {
  const {key, value} = entry;
  const end = value.indexOf(lineFeed);
  const head = value.subarray(0, Math.max(end, 0));
  const text = decoder.decode(value.subarray(end + 1));
  return decodeBytes(key, head, versionMetadataSchema).map(metadata => ({
    metadata,
    text,
  }));
}

function decodeBytes<T>(
  key: string,
  bytes: Uint8Array,
  schema: z.ZodType<T>,
): Result<T, MeshError> {
  const parsed = schema.safeParse(parseJson(decoder.decode(bytes)));
  if (parsed.success) return Result.ok(parsed.data);
  const code = VERSION_CODES.corruptRecord;
  return Result.err(new MeshError(code, `${key}: ${code.text}`, {key}));
}
