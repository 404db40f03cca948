import type {RandomSource} from '@verbenabeam/core';

/**
 * Spreads the returns of refused callers over the time they are told, in ms.
 *
 * @internal
 */
export function withRetryJitter(
  retryAfterMs: number,
  random: RandomSource,
): number {
  return retryAfterMs * (1 + random.float());
}
