import {Result} from 'true-myth';
import {DOCUMENT_CODES} from '@verbenabeam/core';
import type {MeshError} from '@verbenabeam/core';
import {canonicalHash} from './canonical.js';
import {checkReferences} from './check-references.js';
import type {ParsedDocument} from './document-schema.js';
import {indexRoutes} from './find-route.js';
import {parseDocument} from './parse-document.js';
import {refusal} from './refusal.js';
import {compareRoutes} from './route-order.js';
import type {CompiledDocument, Move, Route, Service} from './snapshot.js';
import {SourceLines} from './source-lines.js';
import {finish, finishInTurns, mapInTurns} from './turns.js';
import type {Pause, Turns} from './turns.js';

/** So many routes are resolved in about 2 ms. */
const routesPerTurn = 1_000;
const idempotentMethods = new Set(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE']);

/**
 * Compiles an operators' document. Errors: the codes 1101 to 1113 except
 * `document.deadlinePast`; `details.line` is the line of the fault.
 *
 * @public
 */
export function compile(text: string): Result<CompiledDocument, MeshError> {
  return finish(compileSteps(text));
}

/**
 * Compiles as {@link compile} does, in several turns of the event loop: a
 * document of 1 MB takes 0.1 to 0.3 s, in which a node must answer calls.
 *
 * @param pause - Default: the next turn of the event loop.
 * @public
 */
export function compileInTurns(
  text: string,
  pause?: Pause,
): Promise<Result<CompiledDocument, MeshError>> {
  return finishInTurns(compileSteps(text), pause);
}

function* compileSteps(
  text: string,
): Turns<Result<CompiledDocument, MeshError>> {
  const lines = lazyLines(text);
  const parsed = yield* parseDocument(text, lines);
  if (parsed.isErr) return Result.err(parsed.error);
  const err = checkReferences(parsed.value, lines);
  if (err) return Result.err(err);
  if (isLarge(parsed.value)) yield;
  return Result.ok(yield* resolve(parsed.value, text));
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

/** A smaller document is compiled in one turn. */
function isLarge(doc: ParsedDocument): boolean {
  return doc.routes.length > routesPerTurn;
}

function* resolve(doc: ParsedDocument, text: string): Turns<CompiledDocument> {
  const services = new Map(
    Object.entries(doc.services).map(([name, row]) => [
      name,
      Object.freeze<Service>({name, ...row, versions: freeze(row.versions)}),
    ]),
  );
  const routes = yield* mapInTurns(doc.routes, routesPerTurn, row =>
    toRoute(row, services),
  );
  routes.sort(compareRoutes);
  if (isLarge(doc)) yield;
  const parts = {
    strictness: doc.policy.strictness,
    callerClasses: freeze(doc.callers.classes),
    services,
    routes: Object.freeze(routes),
    moves: freeze(doc.moves.map(row => toMove(row, services))),
  };
  const hash = canonicalHash(parts);
  const document = Object.freeze({text, hash, ...parts});
  if (isLarge(doc)) yield;
  yield* indexRoutes(document);
  return document;
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
