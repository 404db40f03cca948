/**
 * Bodies of the etcd v3 JSON gateway: keys and values in base64, 64-bit numbers
 * as decimal strings, fields with a zero value absent.
 *
 * @packageDocumentation
 */
import * as z from 'zod';
import type {Entry, Txn, WatchEvent} from './store.js';

/** 64-bit number; revisions stay far below 2^53. */
const int64 = z
  .union([z.string(), z.number()])
  .default('0')
  .transform(v => Number(v));

/** Lease ids use the full 64 bits, so they stay text. */
const leaseId = z
  .union([z.string(), z.number()])
  .default('0')
  .transform(v => String(v));

const header = z.object({revision: int64});

const keyValue = z.object({
  key: z.string(),
  value: z.string().default(''),
  mod_revision: int64,
  create_revision: int64,
  lease: leaseId,
});

/** @internal */
export type KeyValue = z.infer<typeof keyValue>;

/** @internal */
export const rangeResponse = z.object({
  header,
  kvs: z.array(keyValue).default([]),
});

/** @internal */
export const txnResponse = z.object({
  header,
  succeeded: z.boolean().default(false),
  responses: z
    .array(z.object({response_range: rangeResponse.partial().optional()}))
    .default([]),
});

/** @internal */
export const grantResponse = z.object({ID: leaseId});

/** @internal */
export const keepAliveResponse = z.object({
  result: z.object({TTL: int64}),
});

/** @internal */
export const revokeResponse = z.object({header});

/** @internal */
export const watchMessage = z.object({
  result: z.object({
    header,
    created: z.boolean().default(false),
    canceled: z.boolean().default(false),
    compact_revision: int64,
    events: z
      .array(
        z.object({
          type: z.enum(['PUT', 'DELETE']).default('PUT'),
          kv: keyValue,
        }),
      )
      .default([]),
  }),
});

/** Error body of the gateway; `code` is a gRPC status. @internal */
export const errorResponse = z.object({
  code: z.number().default(2),
  message: z.string().default(''),
});

/** @internal */
export function encodeText(text: string): string {
  return Buffer.from(text, 'utf8').toString('base64');
}

/** @internal */
export function decodeText(base64: string): string {
  return Buffer.from(base64, 'base64').toString('utf8');
}

/** @internal */
export function encodeBytes(bytes: Uint8Array): string {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString(
    'base64',
  );
}

/** @internal */
export function decodeEntry(kv: KeyValue): Entry {
  return {
    key: decodeText(kv.key),
    value: Buffer.from(kv.value, 'base64'),
    revision: kv.mod_revision,
    createRevision: kv.create_revision,
    lease: kv.lease === '0' ? null : kv.lease,
  };
}

/** @internal */
export function encodeEntry(entry: Entry): Record<string, string> {
  return {
    key: encodeText(entry.key),
    value: encodeBytes(entry.value),
    mod_revision: String(entry.revision),
    create_revision: String(entry.createRevision),
    ...(entry.lease === null ? {} : {lease: entry.lease}),
  };
}

/** @internal */
export function decodeEvent(event: {
  type: 'PUT' | 'DELETE';
  kv: KeyValue;
}): WatchEvent {
  const entry = decodeEntry(event.kv);
  if (event.type === 'PUT') return {type: 'put', entry};
  return {type: 'delete', key: entry.key, revision: entry.revision};
}

/** Body that selects one key, or all keys with the prefix. @internal */
export function keyRange(key: string, prefix: boolean) {
  if (!prefix) return {key: encodeText(key)};
  return {key: encodeText(key), range_end: prefixEnd(key).toString('base64')};
}

/** First key after all keys with the prefix. @internal */
export function prefixEnd(prefix: string): Buffer {
  const bytes = Buffer.from(prefix, 'utf8');
  const maxByte = 0xff;
  for (let i = bytes.length - 1; i >= 0; i--) {
    const byte = bytes[i] ?? maxByte;
    if (byte === maxByte) continue;
    bytes[i] = byte + 1;
    return bytes.subarray(0, i + 1);
  }
  // A single zero byte means "to the end of all keys".
  return Buffer.from([0]);
}

/** @internal */
export function encodeTxn(txn: Txn) {
  return {
    compare: txn.compares.map(({key, revision}) => ({
      target: 'MOD',
      result: 'EQUAL',
      key: encodeText(key),
      mod_revision: String(revision),
    })),
    success: [
      ...(txn.deletes ?? []).map(key => ({
        request_delete_range: {key: encodeText(key)},
      })),
      ...(txn.puts ?? []).map(({key, value, lease}) => ({
        request_put: {
          key: encodeText(key),
          value: encodeBytes(value),
          ...(lease ? {lease} : {}),
        },
      })),
    ],
    failure: txn.compares.map(({key}) => ({
      request_range: {key: encodeText(key)},
    })),
  };
}
