/** A running rollout as this node sees it. @internal */
export interface RolloutView {
  readonly service: string;
  /** Version that the rollout introduces. */
  readonly version: string;
  readonly share: number;
  /** Calls of the service that this node sent during the rollout. */
  readonly sent: number;
  /** Calls of the service that this node sent to the new version. */
  readonly sentFresh: number;
}
