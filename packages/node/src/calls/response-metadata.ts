/** What the system adds to a response. @public */
export interface ResponseMetadata {
  readonly callId: string;
  /** 0 without a configuration. */
  readonly configVersion: number;
  /** Retries that the call did not use; null if it had none to use. */
  readonly retriesLeft: number | null;
}
