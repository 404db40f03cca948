import * as z from 'zod';

/** Validator of {@link ConfigDigest}. @public */
export const configDigestSchema = z.object({
  environment: z.string(),
  version: z.int().nonnegative(),
  hash: z.string(),
});

/**
 * What a node holds; sent on each probe and probe response. Version 0 with an
 * empty hash means nothing.
 *
 * @public
 */
export type ConfigDigest = Readonly<z.output<typeof configDigestSchema>>;
