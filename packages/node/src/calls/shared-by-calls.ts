import type {CallerConnections} from './caller-connections.js';
import type {ReadAheadBudget} from './read-ahead-budget.js';

/** What all calls of an entry node share. @internal */
export interface SharedByCalls {
  readonly connections: CallerConnections;
  readonly readAhead: ReadAheadBudget;
}
