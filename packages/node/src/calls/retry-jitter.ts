import {MeshError} from '@verbenabeam/core';
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

/** The error with jitter on the retry delay that it names, if any. @internal */
export function withJitteredDelay(
  err: MeshError,
  random: RandomSource,
): MeshError {
  const {retryAfterMs: baseMs} = err.details;
  if (typeof baseMs !== 'number') return err;
  const retryAfterMs = withRetryJitter(baseMs, random);
  return new MeshError(err.code, err.message, {...err.details, retryAfterMs});
}
