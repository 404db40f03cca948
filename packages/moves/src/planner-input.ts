/**
 * State of a running move on which the planner decides. Times in milliseconds.
 *
 * @public
 */
export interface PlannerInput {
  readonly share: number;
  /** Highest share that the move has had so far. */
  readonly reached: number;
  /**
   * Total time at the current share, including time before a loss of capacity.
   */
  readonly atShareMs: number;
  /** Time since the last change of the share. */
  readonly sinceChangeMs: number;
  /** Time until the deadline; negative after the deadline. */
  readonly toDeadlineMs: number;
  /** False while a test has evidence against the new version. */
  readonly clean: boolean;
  /** Calls to the new version at this share, on the route with the fewest. */
  readonly fewestRouteCalls: number;
  /** Calls to the new version at this share, over all routes. */
  readonly newCalls: number;
  /** Calls to both versions at this share. */
  readonly allCalls: number;
  /**
   * Largest share that the ready instances of the new version can serve, 0 to
   * 1.
   */
  readonly capacityShare: number;
  /** Number of changes that were detected at 100%. */
  readonly changes: number;
  /** Text of the change detected since the last step; null if there is none. */
  readonly change: string | null;
  /** True when the latest window has rates like the earlier windows. */
  readonly isUsual: boolean;
}
