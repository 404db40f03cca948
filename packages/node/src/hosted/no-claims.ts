import {CLAIM_CODES, MeshError} from '@verbenabeam/core';
import {Result} from 'true-myth';
import type {ClaimsPort} from '../calls/index.js';

/**
 * Claims for a platform whose requests carry no idempotency key. Calls run at most
 * once because the node never resends a call that may have run.
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
