import {hashText} from '@verbenabeam/core';
import type {CompiledDocument, Move, Route, Service} from './snapshot.js';

/** The parts of a document that its hash covers. @internal */
export type DocumentParts = Omit<CompiledDocument, 'text' | 'hash'>;

/**
 * Hashes the meaning of a document: comments, order and spelling of times do
 * not count. Equal hashes mean equal behaviour of the proxies.
 *
 * @public
 */
export function canonicalHash(doc: DocumentParts): string {
  return hashText(JSON.stringify(canonicalForm(doc)));
}

function canonicalForm(doc: DocumentParts): unknown {
  return {
    strictness: doc.strictness,
    callerClasses: [...doc.callerClasses].sort(),
    services: [...doc.services.values()].map(serviceForm).sort(byFirst),
    routes: doc.routes.map(routeForm).sort(byFirst),
    moves: doc.moves.map(moveForm).sort(byFirst),
  };
}

type Form = readonly [string, ...unknown[]];

function serviceForm(row: Service): Form {
  return [row.name, [...row.versions].sort(), row.current];
}

function routeForm(row: Route): Form {
  return [
    row.name,
    row.service.name,
    row.host,
    row.pathPrefix,
    row.methods && [...row.methods].sort(),
    row.idempotent,
    row.timeoutMs,
    row.idempotencyKey,
  ];
}

function moveForm(row: Move): Form {
  const {id, service, from, to, startAt, deadlineAt} = row;
  return [id, service.name, from, to, startAt, deadlineAt];
}

/** Names are unique in their list, so the order is total. */
function byFirst(a: Form, b: Form): number {
  return a[0] < b[0] ? -1 : 1;
}
