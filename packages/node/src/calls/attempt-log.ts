import {CALL_CODES, MeshError} from '@verbenabeam/core';
import type {ResultCode} from '@verbenabeam/core';
import type {Attempt} from './attempt.js';
import type {AttemptRecord} from './call-record.js';
import type {Outcome} from './entry-ports.js';

/** The attempts of one call, and whether one may have run it. @internal */
export class AttemptLog {
  readonly #callId: string;
  readonly #startAt: number;
  readonly #records: AttemptRecord[] = [];
  /** Error of the last attempt that may have run the request. */
  #open: MeshError | null = null;

  /** @param startAt - Start of the call on `performance.now()`, in ms. */
  constructor(callId: string, startAt: number) {
    this.#callId = callId;
    this.#startAt = startAt;
  }

  get records(): readonly AttemptRecord[] {
    return this.#records;
  }

  /** Whether an attempt that ended may have run the request. */
  get mayHaveRun(): boolean {
    return this.#open !== null;
  }

  /** Whether the last attempt was answered. */
  get answered(): boolean {
    return this.#records.at(-1)?.code === CALL_CODES.ok.code;
  }

  /** Adds an attempt that has ended. */
  add(
    attempt: Attempt,
    version: string,
    outcome: Outcome,
    {code}: ResultCode,
  ): void {
    this.#records.push({
      nodeId: attempt.target.nodeId,
      version,
      outcome,
      code,
      atMs: attempt.startAt - this.#startAt,
      latencyMs: attempt.latencyMs ?? 0,
    });
  }

  /** Notes that the attempt which failed so may have run the request. */
  recordMayHaveRun(err: MeshError): void {
    this.#open = err;
  }

  /**
   * The error for the caller after the last attempt failed with `err`. An
   * attempt that may have run decides it, with its own message: the failure of
   * a later attempt does not explain why the outcome is unknown.
   */
  toCallError(err: MeshError): MeshError {
    const open = this.#open;
    if (!open) return err;
    const code = CALL_CODES.outcomeUnknown;
    if (open.code === code) return open;
    const details = {callId: this.#callId, cause: open.code.name};
    return new MeshError(code, open.message, details);
  }
}
