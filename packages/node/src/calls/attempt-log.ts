import {CALL_CODES, MeshError, WIRE_CODES} from '@verbenabeam/core';
import type {ResultCode} from '@verbenabeam/core';
import type {Attempt} from './attempt.js';
import type {AttemptRecord} from './call-record.js';
import type {Outcome} from './entry-ports.js';

const cutMessage = 'The node stopped; the request may have been run.';

/** The attempts of one call, and whether any of them may have run. @internal */
export class AttemptLog {
  readonly #callId: string;
  readonly #startAt: number;
  readonly #records: AttemptRecord[] = [];
  /** Error of the last attempt that may have run the request. */
  #mayHaveRunError: MeshError | null = null;

  /** @param startAt - Start of the call on `performance.now()`, in ms. */
  constructor(callId: string, startAt: number) {
    this.#callId = callId;
    this.#startAt = startAt;
  }

  get records(): readonly AttemptRecord[] {
    return this.#records;
  }

  /** Whether an ended attempt may have run the request. */
  get mayHaveRun(): boolean {
    return this.#mayHaveRunError !== null;
  }

  /** Whether the last attempt got a response. */
  get answered(): boolean {
    return this.#records.at(-1)?.code === CALL_CODES.ok.code;
  }

  /**
   * Whether an attempt lost its connection. What ended that node may have ended
   * others whose connections are not closed yet.
   */
  get lostConnection(): boolean {
    const {code} = WIRE_CODES.connectionLost;
    return this.#records.some(record => record.code === code);
  }

  /** Adds an ended attempt. */
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

  /** Records that the attempt that failed with `err` may have run the request. */
  recordMayHaveRun(err: MeshError): void {
    this.#mayHaveRunError = err;
  }

  /**
   * The error for the caller of a call that its node ends before it has an answer.
   *
   * @param isTrying - Whether an attempt has not ended.
   */
  cutError(isTrying: boolean): MeshError {
    if (isTrying || this.mayHaveRun) {
      return new MeshError(CALL_CODES.outcomeUnknown, cutMessage);
    }
    return new MeshError(CALL_CODES.draining, CALL_CODES.draining.text);
  }

  /**
   * The error for the caller after the last attempt failed with `err`. If an
   * attempt may have run the request, the result is `outcomeUnknown` with the
   * message of that attempt: the failure of a later attempt does not explain why
   * the outcome is unknown.
   */
  toCallError(err: MeshError): MeshError {
    const mayHaveRun = this.#mayHaveRunError;
    if (!mayHaveRun) return err;
    const code = CALL_CODES.outcomeUnknown;
    if (mayHaveRun.code === code) return mayHaveRun;
    const details = {callId: this.#callId, cause: mayHaveRun.code.name};
    return new MeshError(code, mayHaveRun.message, details);
  }
}
