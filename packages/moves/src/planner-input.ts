/** What the planner knows of a running move. Times in milliseconds. @public */
export interface PlannerInput {
  readonly share: number;
  /** Highest share of the move so far. */
  readonly reached: number;
  /** Time spent at the present share, also before a loss of capacity. */
  readonly atShareMs: number;
  /** Time since the last change of the share. */
  readonly sinceChangeMs: number;
  /** Time to the deadline; negative after it. */
  readonly toDeadlineMs: number;
  /** False while a test has some evidence against the new version. */
  readonly clean: boolean;
  /** New calls at this share, of the route with the fewest. */
  readonly fewestRouteCalls: number;
  /** New calls at this share over all routes. */
  readonly newCalls: number;
  /** Calls of both versions at this share. */
  readonly allCalls: number;
  /** Largest share that the ready instances of the new version carry, 0 to 1. */
  readonly capacityShare: number;
  /** How often the calls at 100% differed from the calls before it. */
  readonly changes: number;
  /** In what they differ since the last step; null for nothing. */
  readonly change: string | null;
  /** True when the last calls before 100% were as the earlier ones. */
  readonly isUsual: boolean;
}
