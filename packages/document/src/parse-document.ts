import {Result} from 'true-myth';
import type {z} from 'zod';
import {DOCUMENT_CODES} from '@verbenabeam/core';
import type {MeshError, ResultCode} from '@verbenabeam/core';
import {documentSchema, durationMessage} from './document-schema.js';
import type {ParsedDocument} from './document-schema.js';
import {parseInParts} from './parse-parts.js';
import {findKey, parseToml} from './parse-toml.js';
import {refusal, refusalAt} from './refusal.js';
import type {SourceLines} from './source-lines.js';
import type {ValuePath} from './source-lines.js';
import type {Turns} from './turns.js';

/** Limit in UTF-8 bytes. The store accepts values up to 1 MB. @public */
export const MAX_DOCUMENT_BYTES = 1_000_000;

/** Parses the text and checks types and units. @internal */
export function* parseDocument(
  text: string,
  lines: () => SourceLines,
): Turns<Result<ParsedDocument, MeshError>> {
  const bytes = Buffer.byteLength(text);
  if (bytes > MAX_DOCUMENT_BYTES) return Result.err(tooLarge(text, bytes));
  const parsed = yield* parseInParts(text);
  if (parsed) return Result.ok(parsed);
  return parseToml(text).andThen(raw => checkTypes(raw, lines));
}

function tooLarge(text: string, bytes: number): MeshError {
  const allowed = Buffer.from(text).subarray(0, MAX_DOCUMENT_BYTES).toString();
  return refusalAt(
    DOCUMENT_CODES.tooLarge,
    `the document has ${bytes} bytes; the limit is ${MAX_DOCUMENT_BYTES}`,
    allowed.split('\n').length,
  );
}

function checkTypes(
  raw: unknown,
  lines: () => SourceLines,
): Result<ParsedDocument, MeshError> {
  // zod drops this key from records without an issue.
  const hidden = findKey(raw, '__proto__');
  if (hidden) {
    return Result.err(unknownKey([...hidden, '__proto__'], lines()));
  }
  const parsed = documentSchema.safeParse(raw);
  if (parsed.success) return Result.ok(parsed.data);
  return Result.err(firstIssue(parsed.error.issues, raw, lines()));
}

/** Returns the refusal of the issue that stands first in the text. */
function firstIssue(
  issues: readonly z.core.$ZodIssue[],
  raw: unknown,
  lines: SourceLines,
): MeshError {
  const refusals = issues.map(issue => describeIssue(issue, raw, lines));
  refusals.sort(
    (a, b) => Number(a.details['line']) - Number(b.details['line']),
  );
  return refusals[0] as MeshError;
}

function describeIssue(
  issue: z.core.$ZodIssue,
  raw: unknown,
  lines: SourceLines,
): MeshError {
  const path = issue.path.map(part =>
    typeof part === 'symbol' ? String(part) : part,
  );
  if (issue.code === 'unrecognized_keys') {
    return unknownKey([...path, issue.keys[0] ?? ''], lines);
  }
  const reason = `${showPath(path)}: ${issue.message}`;
  return refusal(issueCode(issue, path, raw), reason, path, lines);
}

function issueCode(
  issue: z.core.$ZodIssue,
  path: ValuePath,
  raw: unknown,
): ResultCode {
  if (valueAt(raw, path) === undefined) return DOCUMENT_CODES.missingKey;
  if (issue.message === durationMessage) return DOCUMENT_CODES.wrongUnit;
  return DOCUMENT_CODES.wrongType;
}

function unknownKey(path: ValuePath, lines: SourceLines): MeshError {
  const reason = `unknown key ${showPath(path)}`;
  return refusal(DOCUMENT_CODES.unknownKey, reason, path, lines);
}

function valueAt(raw: unknown, path: ValuePath): unknown {
  let value = raw;
  for (const part of path) {
    if (typeof value !== 'object' || value === null) return undefined;
    value = (value as Record<string | number, unknown>)[part];
  }
  return value;
}

function showPath(path: ValuePath): string {
  return path.join('.');
}
