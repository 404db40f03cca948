import {DOCUMENT_CODES} from '@verbenabeam/core';
import type {MeshError} from '@verbenabeam/core';
import type {ParsedDocument} from './document-schema.js';
import {refusal} from './refusal.js';
import type {SourceLines, ValuePath} from './source-lines.js';

/** Metrics count every unlisted caller class under this name. */
const reservedCallerClass = 'other';

type Lines = () => SourceLines;
type Check = (doc: ParsedDocument, lines: Lines) => MeshError | null;

const checks: readonly Check[] = [
  checkCallerClasses,
  checkServices,
  checkRoutes,
  checkMoves,
];

/** Returns the first refusal by meaning: names, references, times. @internal */
export function checkReferences(
  doc: ParsedDocument,
  lines: Lines,
): MeshError | null {
  for (const check of checks) {
    const err = check(doc, lines);
    if (err) return err;
  }
  return null;
}

function checkCallerClasses(doc: ParsedDocument, lines: Lines) {
  // The reserved name stands before the first class, so indexes shift by one.
  const names = [reservedCallerClass, ...doc.callers.classes];
  return checkUnique(names, i => ['callers', 'classes', i - 1], lines);
}

function checkServices(doc: ParsedDocument, lines: Lines): MeshError | null {
  for (const [name, service] of Object.entries(doc.services)) {
    const path = ['services', name];
    const versions = [...path, 'versions'];
    const duplicate = checkUnique(
      service.versions,
      i => [...versions, i],
      lines,
    );
    if (duplicate) return duplicate;
    if (!service.versions.includes(service.current)) {
      const at = [...path, 'current'];
      return unknownVersion(name, service.current, at, lines);
    }
  }
  return null;
}

function checkRoutes(doc: ParsedDocument, lines: Lines): MeshError | null {
  const names = doc.routes.map(route => route.name);
  const duplicate = checkUnique(names, i => ['routes', i, 'name'], lines);
  if (duplicate) return duplicate;
  for (const [i, route] of doc.routes.entries()) {
    if (!Object.hasOwn(doc.services, route.service)) {
      return unknownService(route.service, ['routes', i, 'service'], lines);
    }
  }
  return null;
}

function checkMoves(doc: ParsedDocument, lines: Lines): MeshError | null {
  const ids = doc.moves.map(move => move.id);
  const duplicate = checkUnique(ids, i => ['moves', i, 'id'], lines);
  if (duplicate) return duplicate;
  const moved = new Set<string>();
  for (const [i, move] of doc.moves.entries()) {
    const err = checkMove(doc, move, i, lines);
    if (err) return err;
    if (moved.has(move.service)) {
      const reason = `service "${move.service}" has another move already`;
      const at = ['moves', i, 'service'];
      return refusal(DOCUMENT_CODES.secondMove, reason, at, lines());
    }
    moved.add(move.service);
  }
  return null;
}

function checkMove(
  doc: ParsedDocument,
  move: ParsedDocument['moves'][number],
  index: number,
  lines: Lines,
): MeshError | null {
  const path = ['moves', index];
  if (!Object.hasOwn(doc.services, move.service)) {
    return unknownService(move.service, [...path, 'service'], lines);
  }
  const service = doc.services[move.service];
  if (!service?.versions.includes(move.to)) {
    return unknownVersion(move.service, move.to, [...path, 'to'], lines);
  }
  if (move.to === service.current) {
    const reason = `"${move.to}" is the current version already`;
    const at = [...path, 'to'];
    return refusal(DOCUMENT_CODES.moveToCurrent, reason, at, lines());
  }
  if (move.start !== undefined && move.start >= move.deadline) {
    const reason = `move "${move.id}" has its deadline before its start`;
    const at = [...path, 'deadline'];
    return refusal(DOCUMENT_CODES.deadlineBeforeStart, reason, at, lines());
  }
  return null;
}

function checkUnique(
  names: readonly string[],
  pathOf: (index: number) => ValuePath,
  lines: Lines,
): MeshError | null {
  const seen = new Set<string>();
  for (const [i, name] of names.entries()) {
    if (seen.has(name)) {
      const reason = `the name "${name}" occurs twice or is reserved`;
      return refusal(DOCUMENT_CODES.duplicateName, reason, pathOf(i), lines());
    }
    seen.add(name);
  }
  return null;
}

function unknownService(name: string, path: ValuePath, lines: Lines) {
  const reason = `service "${name}" does not exist`;
  return refusal(DOCUMENT_CODES.unknownService, reason, path, lines());
}

function unknownVersion(
  service: string,
  version: string,
  path: ValuePath,
  lines: Lines,
) {
  const reason = `service "${service}" does not list version "${version}"`;
  return refusal(DOCUMENT_CODES.unknownVersion, reason, path, lines());
}
