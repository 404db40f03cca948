import type {ResultCode} from '@verbenabeam/core';
import type {ThrottleRejection} from '@verbenabeam/routing';
import type {Outcome} from './entry-ports.js';

/** One attempt of a call. @public */
export interface AttemptRecord {
  readonly nodeId: string;
  readonly version: string;
  readonly outcome: Outcome;
  /** Number of the result code; 1600 for a complete response. */
  readonly code: number;
  /** Start of the attempt after that of the call, in ms. */
  readonly atMs: number;
  readonly latencyMs: number;
}

/** Record that the entry node keeps of an ended call. @public */
export interface CallRecord {
  readonly callId: string;
  /** Call whose upstream made this one, from the request; null if there is none. */
  readonly parentCallId: string | null;
  /** Start in milliseconds since the Unix epoch. */
  readonly startedAt: number;
  readonly durationMs: number;
  /** Time until the response head, in ms; null without a response. */
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
  /** Why the throttle of the entry node rejected the call; null if it did not. */
  readonly turnedAway: ThrottleRejection | null;
  /** HTTP status sent to the caller; 0 if none was sent. */
  readonly status: number;
  readonly responseBytes: number;
}
