import type {CompiledDocument, Move} from '@verbenabeam/document';
import type {MovePlan} from '@verbenabeam/moves';

/** Converts the planned moves of a document to controller input. @internal */
export function movePlans(document: CompiledDocument): MovePlan[] {
  return document.moves.map(move => ({
    moveId: move.id,
    service: move.service.name,
    from: move.from,
    to: move.to,
    startAt: move.startAt,
    deadlineAt: move.deadlineAt,
    routes: routesOf(document, move),
  }));
}

function routesOf(document: CompiledDocument, move: Move): string[] {
  return document.routes
    .filter(route => route.service === move.service)
    .map(route => route.name);
}
