import * as z from 'zod';

/**
 * Kind of the request for the version of a node and the reason for its lag.
 *
 * @internal
 */
export const STATUS_LAG = 'status.lag';

/** Response to a {@link STATUS_LAG} request. @internal */
export type LagResponse = z.infer<typeof lagResponseSchema>;

/** Schema of the response to a {@link STATUS_LAG} request. @internal */
export const lagResponseSchema = z.object({
  version: z.int().nonnegative(),
  reason: z.string(),
});
