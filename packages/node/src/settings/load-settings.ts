import {readFileSync} from 'node:fs';
import {parse} from 'smol-toml';
import {Result} from 'true-myth';
import type {z} from 'zod';
import {MeshError, SETTINGS_CODES} from '@verbenabeam/core';
import {nodeSettingsSchema} from './node-settings.js';
import type {NodeSettings, NodeSettingsFile} from './node-settings.js';
import {findConflict} from './settings-conflicts.js';

/** Reads a text file; tests replace it to run without files. @internal */
export type ReadFile = (path: string) => string;

const readUtf8: ReadFile = path => readFileSync(path, 'utf8');

/**
 * Reads and validates a settings file.
 *
 * @returns The settings, or an error 1001 to 1003 with the path of the key and
 * the expected value.
 * @public
 */
export function loadSettings(
  path: string,
  readFile: ReadFile = readUtf8,
): Result<NodeSettings, MeshError> {
  let raw: unknown;
  try {
    raw = parse(readFile(path));
  } catch (err) {
    return Result.err(unreadable(path, err));
  }
  const checked = nodeSettingsSchema.safeParse(raw);
  if (!checked.success) return Result.err(invalid(checked.error));
  const conflict = findConflict(checked.data);
  if (conflict !== null) {
    return Result.err(new MeshError(SETTINGS_CODES.conflicting, conflict));
  }
  return withKeys(checked.data, readFile);
}

function withKeys(
  file: NodeSettingsFile,
  readFile: ReadFile,
): Result<NodeSettings, MeshError> {
  const {access} = file;
  try {
    return Result.ok({
      ...file,
      nodeKey: access.node_key ?? readFile(access.node_key_file ?? '').trim(),
      operatorToken:
        access.operator_token ??
        readFile(access.operator_token_file ?? '').trim(),
    });
  } catch (err) {
    return Result.err(unreadable('access', err));
  }
}

function unreadable(what: string, err: unknown): MeshError {
  const reason = err instanceof Error ? err.message : String(err);
  return new MeshError(SETTINGS_CODES.unreadable, `${what}: ${reason}`);
}

function invalid(err: z.ZodError): MeshError {
  const problems = err.issues.map(issue => {
    const path = issue.path.length > 0 ? issue.path.join('.') : '(top level)';
    return `${path}: ${issue.message}`;
  });
  return new MeshError(SETTINGS_CODES.invalid, problems.join('; '), {problems});
}
