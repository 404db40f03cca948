import {Encoder} from 'cbor-x';
import type {StoredResponse} from './messages.js';

/** State of one claim, as stored in a segment. @internal */
export interface ClaimRecord {
  readonly claim: string;
  readonly callId: string;
  /** Wall-clock time of the grant, in milliseconds. */
  readonly grantedAt: number;
  /** Time that the call may run after the grant, in milliseconds. */
  readonly holdMs: number;
  readonly state: 'granted' | 'ran' | 'released';
  readonly answer: StoredResponse | null;
}

/** One entry in the log of a partition. @internal */
export interface Segment {
  /** Unique ID, by which an owner recognizes a segment that it wrote itself. */
  readonly operationId: string;
  /** Wall-clock time of the append, in milliseconds. */
  readonly at: number;
  /** Unexpired records of compacted segments; applied before `records`. */
  readonly folded: readonly ClaimRecord[];
  readonly records: readonly ClaimRecord[];
}

const encoder = new Encoder({useRecords: false});
const sequenceDigits = 12;

/** @internal */
export function encodeSegment(segment: Segment): Uint8Array {
  return encoder.encode(segment);
}

/** @internal */
export function decodeSegment(value: Uint8Array): Segment {
  return encoder.decode(value) as Segment;
}

/** Prefix of all store keys of a partition. @internal */
export function partitionPrefix(environment: string, partition: number) {
  return `/verbenabeam/env/${environment}/claims/${String(partition)}/`;
}

/** @internal */
export function segmentKey(prefix: string, sequence: number): string {
  return prefix + String(sequence).padStart(sequenceDigits, '0');
}

/**
 * Key that is written by each compaction. Every append compares its revision:
 * without it, a paused owner could append at a sequence number whose segment
 * another owner has written and a compaction has deleted.
 *
 * @internal
 */
export function checkpointKey(prefix: string): string {
  return `${prefix}checkpoint`;
}
