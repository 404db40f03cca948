import type {ResultCode} from '@verbenabeam/core';
import type {ThrottleRejection} from '@verbenabeam/routing';
import type {Outcome} from './entry-ports.js';

/** One attempt of a call. @public */
export interface AttemptRecord {
  readonly nodeId: string;
  readonly version: string;
  readonly outcome: Outcome;
  /** Number of the result code; 1600 if it was answered. */
  readonly code: number;
  /** Time after the start of the call, in ms. */
  readonly atMs: number;
  readonly latencyMs: number;
}

/** What the entry node knows of a call that ended. @public */
export interface CallRecord {
  readonly callId: string;
  /** Call id in the request, if its caller is itself a call; else null. */
  readonly parentCallId: string | null;
  /** Start in milliseconds since the Unix epoch. */
  readonly startedAt: number;
  readonly durationMs: number;
  /** Time until the answer's head; null if there was none. */
  readonly headMs: number | null;
  readonly method: string;
  readonly path: string;
  readonly callerClass: string;
  /** Null if no route matched. */
  readonly route: string | null;
  readonly service: string | null;
  readonly version: string | null;
  readonly moveId: string | null;
  /** 0 if the node held no configuration. */
  readonly configVersion: number;
  readonly depth: number;
  readonly attempts: readonly AttemptRecord[];
  readonly code: ResultCode;
  /** Why the entry node turned it away; null if it did not. */
  readonly turnedAway: ThrottleRejection | null;
  /** HTTP status that the caller got; 0 if it got none. */
  readonly status: number;
  readonly responseBytes: number;
}
