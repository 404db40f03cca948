import {MeshError} from '@verbenabeam/core';
import type {RandomSource} from '@verbenabeam/core';

/**
 * Spreads the returns of refused callers over the time they are told.
 *
 * @internal
 */
export function spreadReturn(err: MeshError, random: RandomSource): MeshError {
  const {retryAfterMs} = err.details;
  if (typeof retryAfterMs !== 'number') return err;
  const spreadMs = retryAfterMs * (1 + random.float());
  const details = {...err.details, retryAfterMs: spreadMs};
  return new MeshError(err.code, err.message, details);
}
