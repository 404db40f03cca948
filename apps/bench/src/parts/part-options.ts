/** What a run of a part may change. @internal */
export interface PartOptions {
  /** Length of one measured window; in the call part the sum for each path. */
  readonly seconds: number;
  /** Numbers of nodes to measure with. */
  readonly nodes: readonly number[];
  /** Labels of the rows to measure, in the call part. Default: every row. */
  readonly only?: string;
}
