import {readFileSync} from 'node:fs';
import {MeshError, SETTINGS_CODES} from '@verbenabeam/core';
import {SourceLines} from '@verbenabeam/document';
import type {ValuePath} from '@verbenabeam/document';
import {parse, TomlError} from 'smol-toml';
import {Result} from 'true-myth';
import {daySchema} from './day.js';
import type {Day} from './day.js';

/**
 * Reads a day file. Errors: 1003 (unreadable file or TOML), 1001 (a field); both
 * name the line.
 *
 * @public
 */
export function readDay(path: string): Result<Day, MeshError> {
  let text: string;
  try {
    text = readFileSync(path, 'utf8');
  } catch (err) {
    const reason = `${path}: ${String(err)}`;
    return Result.err(new MeshError(SETTINGS_CODES.unreadable, reason));
  }
  return parseDay(text);
}

/** Parses the text of a day file; errors as of {@link readDay}. @public */
export function parseDay(text: string): Result<Day, MeshError> {
  let raw: unknown;
  try {
    raw = parse(text);
  } catch (err) {
    if (!(err instanceof TomlError)) throw err;
    const reason = err.message.split('\n')[0] ?? err.message;
    const {unreadable} = SETTINGS_CODES;
    return Result.err(
      new MeshError(unreadable, `line ${err.line}: ${reason}`, {
        line: err.line,
      }),
    );
  }
  const lines = new SourceLines(text);
  const parsed = daySchema.safeParse(raw);
  if (!parsed.success) {
    const [issue] = parsed.error.issues;
    const path = (issue?.path ?? []).filter(part => typeof part !== 'symbol');
    return Result.err(invalid(path, issue?.message ?? 'invalid', lines));
  }
  const unknown = unknownName(parsed.data);
  if (unknown) return Result.err(invalid(unknown.path, unknown.reason, lines));
  return Result.ok(parsed.data);
}

interface UnknownName {
  readonly path: ValuePath;
  readonly reason: string;
}

/** The first reference to a service or route that the day does not have. */
function unknownName(day: Day): UnknownName | null {
  const services = new Set(day.services.map(({name}) => name));
  const routes = new Set(day.kinds.map(({route}) => route));
  const references = [
    ...day.instances.map(({service}, i) => ({
      path: ['instances', i, 'service'],
      known: services,
      name: service,
    })),
    ...day.kinds.map(({service}, i) => ({
      path: ['kinds', i, 'service'],
      known: services,
      name: service,
    })),
    ...day.kinds.flatMap(({calls}, i) =>
      calls.map(({route}, j) => ({
        path: ['kinds', i, 'calls', j, 'route'],
        known: routes,
        name: route,
      })),
    ),
    ...day.faults.flatMap(({service}, i) =>
      service === undefined
        ? []
        : [{path: ['faults', i, 'service'], known: services, name: service}],
    ),
  ];
  const found = references.find(({known, name}) => !known.has(name));
  if (!found) return null;
  return {path: found.path, reason: `"${found.name}" is not defined`};
}

function invalid(
  path: ValuePath,
  reason: string,
  lines: SourceLines,
): MeshError {
  const line = lines.lineOf(path);
  const message = `line ${line}: field "${path.join('.')}": ${reason}`;
  return new MeshError(SETTINGS_CODES.invalid, message, {line});
}
