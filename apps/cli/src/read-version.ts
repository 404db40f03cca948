import {Result} from 'true-myth';
import {ACCESS_CODES, MeshError} from '@verbenabeam/core';

/** Reads a version number given on the command line. */
export function readVersion(
  name: string,
  value: unknown,
): Result<number, MeshError> {
  const version = Number(value);
  if (Number.isInteger(version) && version >= 0) return Result.ok(version);
  return Result.err(
    new MeshError(
      ACCESS_CODES.badRequest,
      `${name} must be a version number, not "${String(value)}"`,
    ),
  );
}

/** Like {@link readVersion}, for an option that may be absent. */
export function readOptionalVersion(
  name: string,
  value: unknown,
): Result<number | undefined, MeshError> {
  if (value === undefined) return Result.ok(undefined);
  return readVersion(name, value);
}
