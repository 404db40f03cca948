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
  /** Time from the start of the call to the start of the attempt, in ms. */
  readonly atMs: number;
  readonly latencyMs: number;
}

/** Record that the entry node keeps of an ended call. @public */
export interface CallRecord {
  readonly callId: string;
  /**
   * Id of the call that the upstream was running when it made this call, from the
   * request headers; null if they name no call.
   */
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
  /** Id of the move by which the version was chosen; null if there is none. */
  readonly moveId: string | null;
  /** 0 if the node held no configuration. */
  readonly configVersion: number;
  readonly depth: number;
  readonly attempts: readonly AttemptRecord[];
  readonly code: ResultCode;
  /** Rejection by the throttle of the entry node; null if it did not reject the call. */
  readonly turnedAway: ThrottleRejection | null;
  /** HTTP status sent to the caller; 0 if none was sent. */
  readonly status: number;
  readonly responseBytes: number;
}
