import * as z from 'zod';

/** Body of every refusal of the admin API. */
export const errorBodySchema = z.object({
  code: z.number().int(),
  name: z.string(),
  message: z.string(),
  notRun: z.boolean(),
  details: z.record(z.string(), z.unknown()).optional(),
});

/** Body of every refusal of the admin API. @public */
export type ErrorBody = z.infer<typeof errorBodySchema>;
