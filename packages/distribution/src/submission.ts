/** An operator's change. @public */
export interface Submission {
  readonly environment: string;
  readonly text: string;
  readonly author: string;
  /** Unique per change; a repeated submission with the same id is one change. */
  readonly operationId: string;
  /** Version that the operator edited; another head refuses the change. */
  readonly baseVersion?: number;
}

/** A promotion of a named trial version. @public */
export interface Promotion extends Omit<Submission, 'text'> {
  readonly from: {readonly environment: string; readonly version: number};
}
