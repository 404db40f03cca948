import {Result} from 'true-myth';
import {DOCUMENT_CODES} from '@verbenabeam/core';
import type {MeshError} from '@verbenabeam/core';
import {canonicalHash} from './canonical.js';
import {checkReferences} from './check-references.js';
import type {ParsedDocument} from './document-schema.js';
import {parseDocument} from './parse-document.js';
import {refusal} from './refusal.js';
import {compareRoutes} from './route-order.js';
import type {CompiledDocument, Move, Route, Service} from './snapshot.js';
import {SourceLines} from './source-lines.js';

const idempotentMethods = new Set(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE']);

/**
 * Compiles an operators' document. Errors: the codes 1101 to 1113 except
 * `document.deadlinePast`; `details.line` is the line of the fault.
 *
 * @public
 */
export function compile(text: string): Result<CompiledDocument, MeshError> {
  const lines = lazyLines(text);
  return parseDocument(text, lines).andThen(doc => {
    const err = checkReferences(doc, lines);
    if (err) return Result.err<CompiledDocument, MeshError>(err);
    return Result.ok<CompiledDocument, MeshError>(resolve(doc, text));
  });
}

/**
 * Refuses a document whose deadline has passed. Only acceptance calls this: a
 * node that gets an accepted version later must still apply it.
 *
 * @param now - Calendar time in milliseconds since the Unix epoch.
 * @public
 */
export function checkDeadlines(
  doc: CompiledDocument,
  now: number,
): Result<CompiledDocument, MeshError> {
  const index = doc.moves.findIndex(move => move.deadlineAt <= now);
  const late = doc.moves[index];
  if (!late) return Result.ok(doc);
  const reason = `the deadline of move "${late.id}" has passed`;
  const path = ['moves', index, 'deadline'];
  const lines = new SourceLines(doc.text);
  return Result.err(refusal(DOCUMENT_CODES.deadlinePast, reason, path, lines));
}

/** Most documents are valid, so the line index is built only for a refusal. */
function lazyLines(text: string): () => SourceLines {
  let lines: SourceLines | null = null;
  return () => (lines ??= new SourceLines(text));
}

function resolve(doc: ParsedDocument, text: string): CompiledDocument {
  const services = new Map(
    Object.entries(doc.services).map(([name, row]) => [
      name,
      Object.freeze<Service>({name, ...row, versions: freeze(row.versions)}),
    ]),
  );
  const parts = {
    strictness: doc.policy.strictness,
    callerClasses: freeze(doc.callers.classes),
    services,
    routes: freeze(
      doc.routes.map(row => toRoute(row, services)).sort(compareRoutes),
    ),
    moves: freeze(doc.moves.map(row => toMove(row, services))),
  };
  return Object.freeze({text, hash: canonicalHash(parts), ...parts});
}

function toRoute(
  row: ParsedDocument['routes'][number],
  services: ReadonlyMap<string, Service>,
): Route {
  const methods = row.methods ? freeze([...new Set(row.methods)]) : null;
  return Object.freeze({
    name: row.name,
    service: serviceOf(row.service, services),
    host: row.host?.toLowerCase() ?? null,
    pathPrefix: row.path_prefix,
    methods,
    idempotent: row.idempotent ?? areIdempotent(methods),
    timeoutMs: row.timeout,
    idempotencyKey: row.idempotency_key,
  });
}

/** A route without methods also takes POST, so it is not idempotent. */
function areIdempotent(methods: readonly string[] | null): boolean {
  return methods?.every(method => idempotentMethods.has(method)) ?? false;
}

function toMove(
  row: ParsedDocument['moves'][number],
  services: ReadonlyMap<string, Service>,
): Move {
  const service = serviceOf(row.service, services);
  return Object.freeze({
    id: row.id,
    service,
    from: service.current,
    to: row.to,
    startAt: row.start ?? null,
    deadlineAt: row.deadline,
  });
}

function serviceOf(
  name: string,
  services: ReadonlyMap<string, Service>,
): Service {
  const service = services.get(name);
  if (!service) throw new Error(`service ${name} was not checked`);
  return service;
}

function freeze<T>(items: readonly T[]): readonly T[] {
  return Object.freeze([...items]);
}
