import type {Snapshot} from '@verbenabeam/document';

/** Headers of the calls of a warm-up, as flat lists of names and values. @public */
export interface WarmUpHeaders {
  /** Headers of a request, without host and body; they vary with `variant`. */
  readonly request: (callId: string, variant: number) => readonly string[];
  /** Headers of the response to that request, without those of its body. */
  readonly response: (callId: string) => readonly string[];
}

/** Typical calls of a platform, and a configuration with their routes. @public */
export interface WarmUpSample extends WarmUpHeaders {
  /** Has a route `/KIND/` at {@link warmUpHost} for each of {@link WARM_UP_KINDS}. */
  readonly snapshot: Snapshot;
}
