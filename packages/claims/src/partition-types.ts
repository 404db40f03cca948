import type {Result} from 'true-myth';
import type {MeshError} from '@verbenabeam/core';
import type {Txn} from '@verbenabeam/store';
import type {BeginReply, BeginRequest, FinishRequest} from './messages.js';
import type {Segment} from './segment.js';

/** Current time, in milliseconds. @internal */
export interface Time {
  /** Monotonic clock, used for intervals and timeouts. */
  readonly now: number;
  /** Wall clock, used for timestamps in the log and for the retention. */
  readonly wall: number;
}

/** Receives the reply to a `claim.begin`. @internal */
export type BeginCallback = (reply: Result<BeginReply, MeshError>) => void;
/** Receives the reply to a `claim.finish`. @internal */
export type FinishCallback = (reply: Result<true, MeshError>) => void;

/** I/O or delay that the driver must perform next. @internal */
export type Action =
  | {readonly type: 'list'}
  | {readonly type: 'append'; readonly txn: Txn}
  | {readonly type: 'readBack'; readonly key: string}
  | {readonly type: 'wait'; readonly ms: number}
  | {readonly type: 'idle'};

/** Received `claim.begin` that has no reply yet. @internal */
export interface PendingBegin {
  readonly req: BeginRequest;
  readonly reply: BeginCallback;
  /** Monotonic time of arrival, in milliseconds. */
  readonly arrivedAt: number;
}

/** Received `claim.finish` that has no reply yet. @internal */
export interface PendingFinish {
  readonly req: FinishRequest;
  readonly reply: FinishCallback;
  /** Monotonic time of arrival, in milliseconds. */
  readonly arrivedAt: number;
}

/** Append of a segment that the store has not confirmed yet. @internal */
export interface PendingAppend {
  readonly sequence: number;
  readonly segment: Segment;
  readonly txn: Txn;
  /** Size of the encoded segment. */
  readonly bytes: number;
  /** The append compacts segments up to this sequence number; 0 for none. */
  readonly compactedUpTo: number;
  begins: PendingBegin[];
  readonly finishes: PendingFinish[];
  /** True once the store may have applied the append without a response. */
  outcomeUnknown: boolean;
  /** Consecutive store calls without a response since the last read. */
  failures: number;
  step: 'send' | 'sent' | 'readBack' | 'reading';
}
