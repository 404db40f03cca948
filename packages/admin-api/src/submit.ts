import * as z from 'zod';
import {authorSchema} from './author.js';

/** Body of a submit request. */
export const submitRequestSchema = z.strictObject({
  document: z.string(),
  author: authorSchema,
  /** Version that the edit is based on; absent accepts any. */
  base: z.number().int().nonnegative().optional(),
});

/** Body of a submit request. @public */
export type SubmitRequest = z.infer<typeof submitRequestSchema>;

/** Body of a promote request. */
export const promoteRequestSchema = z.strictObject({
  /** Environment to take the document from. */
  from: z.string().min(1),
  /** Version of that environment. */
  version: z.number().int().positive(),
  author: authorSchema,
  /** Version of the target environment that the operator saw. */
  base: z.number().int().nonnegative().optional(),
});

/** Body of a promote request. @public */
export type PromoteRequest = z.infer<typeof promoteRequestSchema>;

/** Body of a reassert request. */
export const reassertRequestSchema = z.strictObject({
  author: authorSchema,
});

/** Body of a reassert request. @public */
export type ReassertRequest = z.infer<typeof reassertRequestSchema>;
