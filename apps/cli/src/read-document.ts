import {readFileSync} from 'node:fs';
import {Result} from 'true-myth';
import {ACCESS_CODES, MeshError} from '@verbenabeam/core';

/** Path that stands for standard input. */
export const stdinPath = '-';
const stdinFd = 0;

/** Reads a document from a file, or from standard input for `-`. */
export function readDocument(path: string): Result<string, MeshError> {
  try {
    return Result.ok(readFileSync(path === stdinPath ? stdinFd : path, 'utf8'));
  } catch (err) {
    const reason = err instanceof Error ? err.message : String(err);
    return Result.err(
      new MeshError(
        ACCESS_CODES.badRequest,
        `cannot read document "${path}": ${reason}`,
      ),
    );
  }
}
