import {Result} from 'true-myth';
import type {z} from 'zod';
import {ACCESS_CODES, MeshError} from '@verbenabeam/core';

/** Validates a request body against its schema; error 1903 if invalid. */
export function parseBody<T>(
  schema: z.ZodType<T>,
  body: unknown,
): Result<T, MeshError> {
  const parsed = schema.safeParse(body);
  if (parsed.success) return Result.ok(parsed.data);
  const problems = parsed.error.issues.map(
    issue => `${issue.path.join('.') || 'body'}: ${issue.message}`,
  );
  return Result.err(
    new MeshError(ACCESS_CODES.badRequest, problems.join('; ')),
  );
}
