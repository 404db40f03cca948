import * as z from 'zod';

/** Answer to a check of a document. */
export const checkResponseSchema = z.object({
  hash: z.string(),
  services: z.number().int(),
  routes: z.number().int(),
  moves: z.number().int(),
});

/** Answer to a check of a document. @public */
export type CheckResponse = z.infer<typeof checkResponseSchema>;
