/** Values that the entry node adds to a response as headers. @public */
export interface ResponseMetadata {
  readonly callId: string;
  /** 0 if the node has no configuration. */
  readonly configVersion: number;
  /** Retries that the call did not use; null if it was refused before it got any. */
  readonly retriesLeft: number | null;
}
