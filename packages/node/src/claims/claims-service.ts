import {CLAIM_CODES, MeshError} from '@verbenabeam/core';
import {Result} from 'true-myth';
import type {ClaimDecision, ClaimsPort} from '../calls/index.js';

/** Refuses all claims. @internal */
export class ClaimsService implements ClaimsPort {
  start(): void {
    return;
  }

  stop(): Promise<void> {
    return Promise.resolve();
  }

  begin(): Promise<Result<ClaimDecision, MeshError>> {
    const code = CLAIM_CODES.unavailable;
    return Promise.resolve(Result.err(new MeshError(code, code.text)));
  }

  finish(): void {
    return;
  }
}
