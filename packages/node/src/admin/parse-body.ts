import {Result} from 'true-myth';
import type {z} from 'zod';
import {ACCESS_CODES, MeshError} from '@verbenabeam/core';

/** Checks a request body against its schema. */
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
