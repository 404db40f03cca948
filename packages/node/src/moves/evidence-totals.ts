import type {Evidence} from '@verbenabeam/moves';

/** Total calls and failures of one route of a move. @internal */
export interface RouteTotals {
  readonly route: string;
  oldCalls: number;
  oldFailures: number;
  newCalls: number;
  newFailures: number;
}

/**
 * Totals of the evidence of each move by route, for status output.
 *
 * @internal
 */
export class EvidenceTotals {
  readonly #moves = new Map<string, Map<string, RouteTotals>>();

  add(parts: readonly Evidence[]): void {
    for (const part of parts) {
      const routes = this.#moves.get(part.moveId) ?? new Map();
      this.#moves.set(part.moveId, routes);
      for (const cell of part.cells) addCell(routes, cell);
    }
  }

  of(moveId: string): readonly RouteTotals[] {
    return [...(this.#moves.get(moveId)?.values() ?? [])];
  }

  forget(moveId: string): void {
    this.#moves.delete(moveId);
  }
}

function addCell(
  routes: Map<string, RouteTotals>,
  cell: Evidence['cells'][number],
): void {
  const {route, from, to} = cell;
  const sum = routes.get(route) ?? {
    route,
    oldCalls: 0,
    oldFailures: 0,
    newCalls: 0,
    newFailures: 0,
  };
  routes.set(route, sum);
  sum.oldCalls += from.calls;
  sum.oldFailures += from.failures;
  sum.newCalls += to.calls;
  sum.newFailures += to.failures;
}
