import {deflateRawSync, inflateRawSync} from 'node:zlib';
import * as z from 'zod';
import type {OperatorRecord} from './operator-records.js';

/** Above the largest value of the store, in bytes. */
const maxValueBytes = 4_194_304;
/** All values of an answer in bytes: sixteen of the largest that the store takes. */
const maxAnswerBytes = 16_777_216;
/** Values are text that repeats itself; more effort saves a few per cent. */
const compressionLevel = 1;

/** A record as it travels between nodes. */
const packedSchema = z.object({
  key: z.string(),
  revision: z.number(),
  /** The value, deflated. */
  packed: z.instanceof(Uint8Array),
});

export const packedRecords = z.array(packedSchema);

type PackedRecord = z.infer<typeof packedSchema>;

const packedByRecord = new WeakMap<OperatorRecord, PackedRecord>();

/** Packs a record once, however often it is sent. @internal */
export function packRecord(record: OperatorRecord): PackedRecord {
  const cached = packedByRecord.get(record);
  if (cached) return cached;
  const {key, revision, value} = record;
  const packed = {
    key,
    revision,
    packed: deflateRawSync(value, {level: compressionLevel}),
  };
  packedByRecord.set(record, packed);
  return packed;
}

/**
 * Throws if a value cannot be unpacked, or if one or all together are too long.
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

/** Throws if the value cannot be unpacked or is too long. @internal */
export function unpackRecord(
  {key, revision, packed}: PackedRecord,
  maxBytes = maxValueBytes,
): OperatorRecord {
  // zlib takes no limit of 0; one byte too many is refused at the next record.
  const maxOutputLength = Math.max(1, Math.min(maxBytes, maxValueBytes));
  return {key, revision, value: inflateRawSync(packed, {maxOutputLength})};
}
