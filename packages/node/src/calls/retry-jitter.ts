import type {RandomSource} from '@verbenabeam/core';

/**
 * Adds up to 100 % to a retry delay in ms, so that refused callers do not retry all
 * at once.
 *
 * @internal
 */
export function withRetryJitter(
  retryAfterMs: number,
  random: RandomSource,
): number {
  return retryAfterMs * (1 + random.float());
}
