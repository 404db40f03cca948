/** Headers of a typical call, as flat lists of names and values. @public */
export interface WarmUpHeaders {
  /** Headers of a request, without those of its body. */
  readonly request: (callId: string) => readonly string[];
  /** Headers of the response to that request, without those of its body. */
  readonly response: (callId: string) => readonly string[];
}
