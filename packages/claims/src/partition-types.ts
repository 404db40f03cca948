import type {Result} from 'true-myth';
import type {MeshError} from '@verbenabeam/core';
import type {Txn} from '@verbenabeam/store';
import type {BeginReply, BeginRequest, FinishRequest} from './messages.js';
import type {Segment} from './segment.js';

/** Time of a decision, in milliseconds. @internal */
export interface Time {
  /** Monotonic; paces the appends. */
  readonly now: number;
  /** Calendar; is recorded and decides the retention. */
  readonly wall: number;
}

/** Receives the decision about a begin. @internal */
export type BeginCallback = (reply: Result<BeginReply, MeshError>) => void;
/** @internal */
export type FinishCallback = (reply: Result<true, MeshError>) => void;

/** What the driver must do next. @internal */
export type Action =
  | {readonly type: 'list'}
  | {readonly type: 'append'; readonly txn: Txn}
  | {readonly type: 'readBack'; readonly key: string}
  | {readonly type: 'wait'; readonly ms: number}
  | {readonly type: 'idle'};

/** @internal */
export interface Begin {
  readonly req: BeginRequest;
  readonly reply: BeginCallback;
  readonly since: number;
}

/** @internal */
export interface Finish {
  readonly req: FinishRequest;
  readonly reply: FinishCallback;
  /** Monotonic time of arrival. */
  readonly since: number;
}

/** @internal */
export interface Append {
  readonly sequence: number;
  readonly segment: Segment;
  readonly txn: Txn;
  readonly bytes: number;
  readonly foldedUpTo: number;
  begins: Begin[];
  readonly finishes: Finish[];
  /** Set once a copy may have been applied. */
  uncertain: boolean;
  /** Successive calls without a response since the last read. */
  failures: number;
  step: 'send' | 'sent' | 'readBack' | 'reading';
}
