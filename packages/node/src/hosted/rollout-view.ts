/** A running rollout as this node sees it. @internal */
export interface RolloutView {
  readonly service: string;
  /** Version that it brings in. */
  readonly version: string;
  readonly share: number;
  /** Calls of the service that this node sent meanwhile. */
  readonly sent: number;
  /** Those of them that went to the version. */
  readonly sentFresh: number;
}
