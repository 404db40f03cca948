/** Headers of a usual call, as flat lists of names and values. @public */
export interface WarmUpHeaders {
  /** Headers of a request, but for those of its body. */
  readonly request: (callId: string) => readonly string[];
  /** Headers of the answer to that request, but for those of its body. */
  readonly response: (callId: string) => readonly string[];
}
