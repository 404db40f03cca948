/** Result of the tests of a move. @public */
export type Verdict =
  | {readonly kind: 'clean'}
  /** Evidence against the new version: the share is not raised for now. */
  | {readonly kind: 'suspect'; readonly reason: string}
  | {readonly kind: 'stop'; readonly reason: string};
