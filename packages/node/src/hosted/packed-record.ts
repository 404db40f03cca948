import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {eraOf, revisionOf} from '@verbenabeam/store';
import * as z from 'zod';
import type {OperatorRecord} from './operator-records.js';

/** Above the largest value that the store accepts, in bytes. */
const maxValueBytes = 4_194_304;
/** Limit for all values of an answer: sixteen of the largest in the store. */
const maxAnswerBytes = 16_777_216;
/** Values are repetitive text; a higher level saves only a few per cent. */
const compressionLevel = 1;

/** A record as nodes send it to each other. */
const packedSchema = z.object({
  key: z.string(),
  /** Without its era, for builds that know of no eras. */
  revision: z.number(),
  /** Absent in era 0. */
  position: z.number().optional(),
  /** The value, deflated. */
  packed: z.instanceof(Uint8Array),
});

export const packedRecords = z.array(packedSchema);

/** @internal */
export type PackedRecord = z.infer<typeof packedSchema>;

const packedByRecord = new WeakMap<OperatorRecord, PackedRecord>();

/** Compresses a record; the result is cached for later sends. @internal */
export function packRecord(record: OperatorRecord): PackedRecord {
  const cached = packedByRecord.get(record);
  if (cached) return cached;
  const {key, revision, value} = record;
  const packed = {
    key,
    revision: revisionOf(revision),
    ...(eraOf(revision) === 0 ? {} : {position: revision}),
    packed: deflateRawSync(value, {level: compressionLevel}),
  };
  packedByRecord.set(record, packed);
  return packed;
}

/**
 * Throws if a value cannot be decompressed, or if one value or all values together
 * are too long.
 *
 * @internal
 */
export function unpackRecords(
  rows: readonly PackedRecord[],
): readonly OperatorRecord[] {
  let remainingBytes = maxAnswerBytes;
  return rows.map(row => {
    const record = unpackRecord(row, remainingBytes);
    remainingBytes -= record.value.length;
    return record;
  });
}

/** Throws if the value cannot be decompressed or is too long. @internal */
export function unpackRecord(
  {key, revision, position, packed}: PackedRecord,
  maxBytes = maxValueBytes,
): OperatorRecord {
  // zlib accepts no limit of 0; beyond the total, a record may still hold one byte.
  const maxOutputLength = Math.max(1, Math.min(maxBytes, maxValueBytes));
  const value = inflateRawSync(packed, {maxOutputLength});
  return {key, revision: position ?? revision, value};
}
