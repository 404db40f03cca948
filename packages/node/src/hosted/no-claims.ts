import {CLAIM_CODES, MeshError} from '@verbenabeam/core';
import {Result} from 'true-myth';
import type {ClaimsPort} from '../calls/index.js';

/**
 * Claims of a platform whose requests carry no idempotency key: at most once is
 * kept by never resending what may have run.
 *
 * @internal
 */
export const noClaims: ClaimsPort = {
  begin: () => {
    const {unavailable} = CLAIM_CODES;
    return Promise.resolve(
      Result.err(new MeshError(unavailable, unavailable.text)),
    );
  },
  finish: () => undefined,
};
