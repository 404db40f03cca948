import {Result} from 'true-myth';
import type {z} from 'zod';
import {MeshError, VERSION_CODES} from '@verbenabeam/core';

/** Checks a message body. Error: `versions.malformedMessage`. @public */
export function parseMessage<T>(
  schema: z.ZodType<T>,
  body: unknown,
): Result<T, MeshError> {
  const parsed = schema.safeParse(body);
  if (parsed.success) return Result.ok(parsed.data);
  const code = VERSION_CODES.malformedMessage;
  const issue = parsed.error.issues[0];
  const reason = `${issue?.path.join('.')}: ${issue?.message}`;
  return Result.err(new MeshError(code, reason));
}
