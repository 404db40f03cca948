import {Encoder} from 'cbor-x';
import type {Answer} from './messages.js';

/** State of one claim as recorded in a segment. @internal */
export interface ClaimRecord {
  readonly claim: string;
  readonly callId: string;
  /** Calendar time of the grant, in milliseconds. */
  readonly grantedAt: number;
  readonly holdMs: number;
  readonly state: 'granted' | 'ran' | 'released';
  readonly answer: Answer | null;
}

/** One append to the log of a partition. @internal */
export interface Segment {
  /** Decides whether an append with an unknown outcome is ours. */
  readonly operationId: string;
  /** Calendar time of the append, in milliseconds. */
  readonly at: number;
  /** Current records of the folded older segments; they come first. */
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

/** Prefix of all keys of a partition. @internal */
export function partitionPrefix(environment: string, partition: number) {
  return `/verbenabeam/env/${environment}/claims/${String(partition)}/`;
}

/** @internal */
export function segmentKey(prefix: string, sequence: number): string {
  return prefix + String(sequence).padStart(sequenceDigits, '0');
}

/**
 * Key that changes with each deletion. Every append compares its revision, so
 * that a paused owner cannot append at a sequence number whose segment was
 * written and deleted in the meantime.
 *
 * @internal
 */
export function checkpointKey(prefix: string): string {
  return `${prefix}checkpoint`;
}
