import * as z from 'zod';
import {versionMetaSchema} from './version-meta.js';

/** Answer to a history request, newest first. */
export const historyResponseSchema = z.object({
  environment: z.string(),
  versions: z.array(versionMetaSchema),
});

/** Answer to a history request, newest first. @public */
export type HistoryResponse = z.infer<typeof historyResponseSchema>;

/** Answer to a diff request. */
export const diffResponseSchema = z.object({changes: z.array(z.string())});

/** Answer to a diff request. @public */
export type DiffResponse = z.infer<typeof diffResponseSchema>;
