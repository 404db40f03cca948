import * as z from 'zod';

const deltaSchema = z.object({
  base: z.string(),
  result: z.string(),
  steps: z.array(
    z.union([
      z.string(),
      z.tuple([z.int().nonnegative(), z.int().positive()]).readonly(),
    ]),
  ),
});

/** Validator of {@link ConfigContent}. @public */
export const configContentSchema = z.union([
  z.strictObject({base: z.int().positive(), delta: deltaSchema}),
  z.strictObject({text: z.string(), textHash: z.string()}),
]);

/**
 * A version's text: the delta from the base version, or the full text with the
 * hash of its bytes.
 *
 * @public
 */
export type ConfigContent = Readonly<z.output<typeof configContentSchema>>;

/** Validator of {@link VersionContent}. @public */
export const versionContentSchema = z.object({
  environment: z.string(),
  version: z.int().positive(),
  hash: z.string(),
  acceptedAt: z.number(),
  content: configContentSchema,
});

/** A version as it travels between nodes. @public */
export type VersionContent = Readonly<z.output<typeof versionContentSchema>>;
