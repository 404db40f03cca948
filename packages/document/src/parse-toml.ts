import {parse, TomlError} from 'smol-toml';
import {Result} from 'true-myth';
import {DOCUMENT_CODES} from '@verbenabeam/core';
import type {MeshError} from '@verbenabeam/core';
import {refusalAt} from './refusal.js';
import type {ValuePath} from './source-lines.js';

/** Parses TOML. Error: `document.syntax` with the line. @internal */
export function parseToml(text: string): Result<unknown, MeshError> {
  try {
    return Result.ok(parse(text));
  } catch (err) {
    if (!(err instanceof TomlError)) throw err;
    const reason = err.message.split('\n')[0] ?? err.message;
    return Result.err(refusalAt(DOCUMENT_CODES.syntax, reason, err.line));
  }
}

/**
 * Returns the path of the first table that has its own key of this name.
 *
 * @internal
 */
export function findKey(
  value: unknown,
  key: string,
  path: ValuePath = [],
): ValuePath | null {
  if (typeof value !== 'object' || value === null) return null;
  if (Object.hasOwn(value, key)) return path;
  for (const [name, child] of Object.entries(value)) {
    const part = Array.isArray(value) ? Number(name) : name;
    const found = findKey(child, key, [...path, part]);
    if (found) return found;
  }
  return null;
}
