/** Options of one run of a part. @internal */
export interface PartOptions {
  /** Length of one measured window, in seconds. */
  readonly seconds: number;
  /** Numbers of nodes to measure. */
  readonly nodes: readonly number[];
}
