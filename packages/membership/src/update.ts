import * as z from 'zod';
import {NODE_STATES, UPSTREAM_STATES} from './instance-record.js';
import type {InstanceRecord, UpstreamRecord} from './instance-record.js';

const name = z.string().min(1).max(128);
const counter = z.int().nonnegative();
const nodeStates = Object.values(NODE_STATES);
const upstreamStates = Object.values(UPSTREAM_STATES);
const stateIndex = z
  .int()
  .min(0)
  .max(nodeStates.length - 1);

const upstreamTuple = z.tuple([
  name,
  name,
  z
    .int()
    .min(0)
    .max(upstreamStates.length - 1),
  counter,
  z.number().nonnegative(),
]);

const recordTuple = z.tuple([
  name,
  counter,
  counter,
  name,
  name,
  name,
  name,
  stateIndex,
  z.boolean(),
  counter,
  upstreamTuple.nullable(),
]);

/** Identity and age of a record: node id, incarnation, sequence. @public */
export const recordKeySchema = z.tuple([name, counter, counter]);

/** One of the tuples that {@link recordKeySchema} accepts. @public */
export type RecordKey = z.infer<typeof recordKeySchema>;

/**
 * A complete record as a tuple, or only its key as a claim that this record is
 * suspect. Tuples take about half the bytes of objects with names.
 *
 * @public
 */
export const updateSchema = z.union([recordTuple, recordKeySchema]);

/** One of the tuples that {@link updateSchema} accepts. @public */
export type Update = z.infer<typeof updateSchema>;

/** A complete record in its compact form. @public */
export type RecordTuple = z.infer<typeof recordTuple>;

/** Compact form of a record. @public */
export function encodeRecord(record: InstanceRecord): RecordTuple {
  const {upstream} = record;
  return [
    record.nodeId,
    record.incarnation,
    record.sequence,
    record.address,
    record.dataCentre,
    record.region,
    record.environment,
    nodeStates.indexOf(record.state),
    record.relay,
    record.configVersion,
    upstream && [
      upstream.service,
      upstream.version,
      upstreamStates.indexOf(upstream.state),
      upstream.slots,
      upstream.readySince,
    ],
  ];
}

/** Record of a compact form that its schema accepted. @public */
export function decodeRecord(tuple: RecordTuple): InstanceRecord {
  const [nodeId, incarnation, sequence, address, dataCentre, ...rest] = tuple;
  const [region, environment, state, relay, configVersion, upstream] = rest;
  return {
    nodeId,
    incarnation,
    sequence,
    address,
    dataCentre,
    region,
    environment,
    state: nodeStates[state] ?? NODE_STATES.alive,
    relay,
    configVersion,
    upstream: upstream && decodeUpstream(upstream),
  };
}

function decodeUpstream(tuple: z.infer<typeof upstreamTuple>): UpstreamRecord {
  const [service, version, state, slots, readySince] = tuple;
  return {
    service,
    version,
    state: upstreamStates[state] ?? UPSTREAM_STATES.down,
    slots,
    readySince,
  };
}

/** Key of a record. @public */
export function keyOf(record: InstanceRecord): RecordKey {
  return [record.nodeId, record.incarnation, record.sequence];
}

/** Tells a suspicion from a complete record. @internal */
export function isClaim(update: Update): update is RecordKey {
  return update.length === 3;
}

/** Orders two keys of one node by incarnation, then sequence. @internal */
export function compareKeys(a: RecordKey, b: RecordKey): number {
  return a[1] - b[1] || a[2] - b[2];
}
