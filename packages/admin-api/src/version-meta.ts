import * as z from 'zod';

/** Where a promoted version came from. */
const promotedFromSchema = z.object({
  environment: z.string(),
  version: z.number().int(),
});

/** What is kept of each accepted version besides its text. */
export const versionMetaSchema = z.object({
  version: z.number().int(),
  hash: z.string(),
  operationId: z.string(),
  author: z.string(),
  /** Milliseconds since the Unix epoch. */
  acceptedAt: z.number(),
  promotedFrom: promotedFromSchema.nullable(),
});

/** What is kept of each accepted version besides its text. @public */
export type VersionMeta = z.infer<typeof versionMetaSchema>;
