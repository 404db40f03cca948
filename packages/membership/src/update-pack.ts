import * as z from 'zod';
import type {RecordTuple, Update} from './update.js';
import {isSuspicion} from './update.js';

/** Most records in one message. A table of 1,300 records takes 60 KB. */
const maxRows = 5000;
const uuidPattern = /^[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}$/;
const addressPattern = /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/;
const uuidBytes = 16;
const addressBytes = 6;
const portOffset = 4;

const text = z.string().max(128);
const bytes = z.custom<Uint8Array>(value => value instanceof Uint8Array);
const count = z.int().nonnegative();

const rowSchema = z.tuple([
  z.union([text, bytes]),
  z.int(),
  count,
  z.union([text, bytes]).optional(),
  count.optional(),
  count.optional(),
  z.boolean().optional(),
  count.optional(),
  z.tuple([count, count, count, z.number()]).nullable().optional(),
]);

/**
 * Schema of a packed list of updates: base time, places (data centre, region,
 * environment), products (service, version) and rows.
 *
 * @public
 */
export const packedUpdatesSchema = z.tuple([
  z.int(),
  z.array(z.tuple([text, text, text])).max(maxRows),
  z.array(z.tuple([text, text])).max(maxRows),
  z.array(rowSchema).max(maxRows),
]);

/** A list of updates in packed wire format. @public */
export type PackedUpdates = z.infer<typeof packedUpdatesSchema>;

type Row = z.infer<typeof rowSchema>;

/** Assigns indexes to distinct string tuples in the order of first use. */
class TupleIndex<T extends readonly string[]> {
  readonly list: T[] = [];
  readonly #index = new Map<string, number>();

  indexOf(names: T): number {
    const key = JSON.stringify(names);
    const known = this.#index.get(key);
    if (known !== undefined) return known;
    this.#index.set(key, this.list.length);
    return this.list.push(names) - 1;
  }
}

/**
 * Packs updates for the wire. Repeated strings are sent once, times are sent
 * relative to the earliest one, UUIDs and IPv4 addresses as bytes. A record
 * takes about 45 bytes instead of 125.
 *
 * @public
 */
export function packUpdates(updates: readonly Update[]): PackedUpdates {
  const base = earliestTime(updates);
  const places = new TupleIndex<[string, string, string]>();
  const products = new TupleIndex<[string, string]>();
  const rows = updates.map((update): Row => {
    const [nodeId, incarnation, sequence] = update;
    const id = packId(nodeId);
    if (isSuspicion(update)) return [id, incarnation - base, sequence];
    const [, , , address, dataCentre, region, environment, ...rest] = update;
    const [state, relay, configVersion, upstream] = rest;
    return [
      id,
      incarnation - base,
      sequence,
      packAddress(address),
      places.indexOf([dataCentre, region, environment]),
      state,
      relay,
      configVersion,
      upstream && [
        products.indexOf([upstream[0], upstream[1]]),
        upstream[2],
        upstream[3],
        // Zero means that the upstream is not ready, so it is kept.
        upstream[4] === 0 ? 0 : upstream[4] - base + 1,
      ],
    ];
  });
  return [base, places.list, products.list, rows];
}

/** Reverses {@link packUpdates} without validating the result. @public */
export function unpackUpdates(packed: PackedUpdates): unknown[] {
  const [base, places, products, rows] = packed;
  return rows.map(row => {
    const [id, age, sequence, address, place, state, relay, config, up] = row;
    const key = [unpackId(id), age + base, sequence];
    if (address === undefined) return key;
    const [service, version] = products[up?.[0] ?? 0] ?? [];
    const upstream = up && [
      service,
      version,
      up[1],
      up[2],
      up[3] === 0 ? 0 : up[3] + base - 1,
    ];
    const names = places[place ?? 0] ?? [];
    const tail = [state, relay, config, upstream];
    return [...key, unpackAddress(address), ...names, ...tail];
  });
}

function earliestTime(updates: readonly Update[]): number {
  let base = Infinity;
  for (const update of updates) {
    const readySince = isSuspicion(update) ? 0 : (update[10]?.[4] ?? 0);
    base = Math.min(base, update[1]);
    if (readySince > 0) base = Math.min(base, readySince);
  }
  return Number.isFinite(base) ? Math.floor(base) : 0;
}

function packId(nodeId: RecordTuple[0]): string | Uint8Array {
  if (!uuidPattern.test(nodeId)) return nodeId;
  return Buffer.from(nodeId.replaceAll('-', ''), 'hex');
}

function unpackId(id: string | Uint8Array): string {
  if (typeof id === 'string') return id;
  if (id.length !== uuidBytes) return '';
  const hex = Buffer.from(id).toString('hex');
  const ends = [8, 12, 16, 20, 32];
  return ends.map((end, i) => hex.slice(ends[i - 1] ?? 0, end)).join('-');
}

/** Packs an IPv4 address only if unpacking restores the same string. */
function packAddress(address: string): string | Uint8Array {
  if (!addressPattern.test(address)) return address;
  const packed = Buffer.alloc(addressBytes);
  const [ip = '', port] = address.split(':');
  packed.set(ip.split('.').map(Number));
  packed.writeUInt16BE(Number(port) & 0xffff, portOffset);
  return unpackAddress(packed) === address ? packed : address;
}

function unpackAddress(address: string | Uint8Array): string {
  if (typeof address === 'string') return address;
  if (address.length !== addressBytes) return '';
  const [a, b, c, d, high = 0, low = 0] = address;
  return `${a}.${b}.${c}.${d}:${high * 256 + low}`;
}
