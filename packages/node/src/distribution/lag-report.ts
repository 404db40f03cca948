import * as z from 'zod';

/** Kind of the request that asks a node why it lags. @internal */
export const STATUS_LAG = 'status.lag';

/** Answer to a {@link STATUS_LAG} request. @internal */
export type LagResponse = z.infer<typeof lagResponseSchema>;

/** Checks the answer to a {@link STATUS_LAG} request. @internal */
export const lagResponseSchema = z.object({
  version: z.int().nonnegative(),
  reason: z.string(),
});
