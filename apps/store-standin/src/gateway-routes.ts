import type {Entry, WatchEvent} from '@verbenabeam/store';
import type {MemoryState, Rejection} from '@verbenabeam/store/fakes';
import {
  grantRequest,
  leaseRequest,
  rangeRequest,
  txnRequest,
} from './gateway-schemas.js';

/** Error body of the gateway with its HTTP status. @internal */
export class GatewayError extends Error {
  constructor(
    readonly status: number,
    readonly grpcCode: number,
    message: string,
  ) {
    super(message);
  }
}

/** @internal */
export interface Route {
  readonly isWrite: boolean;
  readonly run: (state: MemoryState, body: unknown, now: number) => unknown;
}

// gRPC status numbers and the HTTP status that the gateway maps them to.
const invalidArgument = [400, 3] as const;
const notFound = [404, 5] as const;

const rejections: Record<Rejection['rejected'], () => GatewayError> = {
  tooLarge: () =>
    new GatewayError(...invalidArgument, 'etcdserver: request is too large'),
  leaseNotFound: () =>
    new GatewayError(...notFound, 'etcdserver: requested lease not found'),
};

/** Calls with one request and one response. @internal */
export const gatewayRoutes: Readonly<Record<string, Route>> = {
  '/v3/kv/range': {isWrite: false, run: range},
  '/v3/kv/txn': {isWrite: true, run: txn},
  '/v3/lease/grant': {isWrite: true, run: grant},
  '/v3/lease/keepalive': {isWrite: true, run: keepAlive},
  '/v3/lease/revoke': {isWrite: true, run: revoke},
};

function range(state: MemoryState, body: unknown) {
  const {key, range_end} = rangeRequest.parse(body);
  const entries = state.range(key, range_end !== undefined);
  return {
    header: headerOf(state),
    kvs: entries.map(keyValueOf),
    count: String(entries.length),
  };
}

function txn(state: MemoryState, body: unknown) {
  const {compare, success, failure} = txnRequest.parse(body);
  const outcome = state.txn({
    compares: compare.map(c => ({key: c.key, revision: c.mod_revision})),
    puts: success.flatMap(({request_put: put}) =>
      // Lease 0 means that the key has none.
      put ? {...put, lease: put.lease === '0' ? undefined : put.lease} : [],
    ),
    deletes: success.flatMap(op => op.request_delete_range?.key ?? []),
  });
  if ('rejected' in outcome) throw rejections[outcome.rejected]();
  const header = headerOf(state);
  if (outcome.committed) return {header, succeeded: true};
  const responses = failure.flatMap(op => {
    if (!op.request_range) return [];
    const kvs = state.range(op.request_range.key, false).map(keyValueOf);
    return [{response_range: {header, kvs, count: String(kvs.length)}}];
  });
  return {header, responses};
}

function grant(state: MemoryState, body: unknown, now: number) {
  const {TTL} = grantRequest.parse(body);
  const id = state.grant(TTL * 1_000, now);
  return {header: headerOf(state), ID: id, TTL: String(TTL)};
}

function keepAlive(state: MemoryState, body: unknown, now: number) {
  const {ID} = leaseRequest.parse(body);
  const ttlMs = state.keepAlive(ID, now);
  const ttl = ttlMs === null ? {} : {TTL: String(ttlMs / 1_000)};
  return {result: {header: headerOf(state), ID, ...ttl}};
}

function revoke(state: MemoryState, body: unknown) {
  const {ID} = leaseRequest.parse(body);
  if (!state.revoke(ID)) throw rejections.leaseNotFound();
  return {header: headerOf(state)};
}

/** @internal */
export function headerOf(state: MemoryState) {
  return {revision: String(state.revision)};
}

/** @internal */
export function eventOf(event: WatchEvent) {
  if (event.type === 'put') return {kv: keyValueOf(event.entry)};
  const kv = {key: encode(event.key), mod_revision: String(event.revision)};
  return {type: 'DELETE', kv};
}

function keyValueOf(entry: Entry) {
  return {
    key: encode(entry.key),
    value: encode(entry.value),
    mod_revision: String(entry.revision),
    create_revision: String(entry.createRevision),
    ...(entry.lease === null ? {} : {lease: entry.lease}),
  };
}

function encode(value: string | Uint8Array): string {
  return Buffer.from(value as Uint8Array).toString('base64');
}
