import {eraOf, revisionOf} from '@verbenabeam/store';
import * as z from 'zod';
import type {OperatorRecord, OperatorRecords} from './operator-records.js';
import {packRecord} from './packed-record.js';
import type {PackedRecord} from './packed-record.js';

/** Announces the newest position of a node. @internal */
export const NEWER_NOTICE = 'records.newer';
/** Asks for records. @internal */
export const PULL_REQUEST = 'records.pull';

const position = z.number().nonnegative();
const positionRadix = 36;

const pullSchema = z.object({
  /** Revision without its era, for builds that know of no eras. */
  since: position,
  position: position.optional(),
  /** Positions of all held records by key, in place of the highest one. */
  held: z.record(z.string(), position).optional(),
});

const newerSchema = z.union([position, z.object({position})]);

/** @internal */
export type PullRequest = z.infer<typeof pullSchema>;

/** Asks for all that is newer, or for all that differs if `isFirst`. @internal */
export function pullRequestOf(
  records: OperatorRecords,
  isFirst: boolean,
): PullRequest {
  const {revision} = records;
  const request = {since: revisionOf(revision), position: revision};
  if (!isFirst) return request;
  const held = records.since(0).map(record => [record.key, record.revision]);
  return {...request, held: Object.fromEntries(held)};
}

/** @internal */
export function answerPull(
  records: OperatorRecords,
  body: unknown,
): readonly PackedRecord[] {
  const {data} = pullSchema.safeParse(body);
  return records
    .since(0)
    .filter(record => isWanted(record, data))
    .map(packRecord);
}

function isWanted(
  {key, revision}: OperatorRecord,
  request: PullRequest | undefined,
): boolean {
  if (!request) return true;
  if (request.held) return revision > (request.held[key] ?? 0);
  if (request.position !== undefined) return revision > request.position;
  return revisionOf(revision) > request.since;
}

/** Body of a notice: a number for builds that know of no eras. @internal */
export function newerNoticeOf(
  revision: number,
  knowsEras: boolean,
): number | {position: number} {
  if (eraOf(revision) === 0) return revision;
  return knowsEras ? {position: revision} : revisionOf(revision);
}

/** Null if the body is malformed. @internal */
export function readNewerNotice(body: unknown): number | null {
  const {data} = newerSchema.safeParse(body);
  if (data === undefined) return null;
  return typeof data === 'number' ? data : data.position;
}

/** Configuration version and hash that probes carry. @internal */
export function probeConfigOf(revision: number): [number, string] {
  const isPlain = eraOf(revision) === 0;
  return [
    revisionOf(revision),
    isPlain ? '' : revision.toString(positionRadix),
  ];
}

/** Position in what a probe carries. @internal */
export function readProbeConfig(version: number, hash = ''): number {
  const told = Number.parseInt(hash, positionRadix);
  return Number.isSafeInteger(told) && told > 0 ? told : version;
}
