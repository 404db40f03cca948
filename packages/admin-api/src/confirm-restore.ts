import * as z from 'zod';
import {authorSchema} from './author.js';

/** Body of a request that confirms the state of a restored store. */
export const confirmRestoreRequestSchema = z.strictObject({
  author: authorSchema,
});

/** Answer to a request that confirms the state of a restored store. */
export const confirmRestoreResponseSchema = z.object({
  confirmed: z.literal(true),
});
