/** What the tests say of a move. @public */
export type Verdict =
  | {readonly kind: 'clean'}
  /** Some evidence against the new version: no step forward for now. */
  | {readonly kind: 'suspect'; readonly reason: string}
  | {readonly kind: 'stop'; readonly reason: string};
