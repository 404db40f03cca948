import type {CallerConnections} from './caller-connections.js';
import type {MemoryBudget} from './memory-budget.js';
import type {RouteCallers} from './route-callers.js';

/** What all calls of an entry node share. @internal */
export interface SharedByCalls {
  readonly connections: CallerConnections;
  /** For parts of request bodies that no instance takes yet. */
  readonly readAhead: MemoryBudget;
  /** For long responses whose end is not known yet. */
  readonly heldResponses: MemoryBudget;
  readonly routeCallers: RouteCallers;
}
