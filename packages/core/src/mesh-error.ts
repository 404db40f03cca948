import type {ResultCode} from './result-code.js';

/** Structured context of an error; values are safe to log. @public */
export type ErrorDetails = Readonly<Record<string, unknown>>;

/**
 * An expected failure with its numbered result code. Functions that can fail
 * return it in a `Result`; only broken invariants are thrown. It has no stack trace: each
 * refused call makes several.
 *
 * @public
 */
export class MeshError extends Error {
  readonly code: ResultCode;
  readonly details: ErrorDetails;

  constructor(code: ResultCode, message: string, details: ErrorDetails = {}) {
    const limit = Error.stackTraceLimit;
    Error.stackTraceLimit = 0;
    super(message);
    Error.stackTraceLimit = limit;
    this.name = 'MeshError';
    this.code = code;
    this.details = details;
  }

  /** Plain form for HTTP bodies and `--json` output. */
  toJSON(): MeshErrorJson {
    return {
      code: this.code.code,
      name: this.code.name,
      message: this.message,
      notRun: this.code.notRun,
      details: this.details,
    };
  }
}

/** Serialized form of a {@link MeshError}. @public */
export interface MeshErrorJson {
  readonly code: number;
  readonly name: string;
  readonly message: string;
  readonly notRun: boolean;
  readonly details: ErrorDetails;
}
