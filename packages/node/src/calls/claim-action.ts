import {CLAIM_CODES, MeshError} from '@verbenabeam/core';
import type {ResultCode} from '@verbenabeam/core';
import type {
  ClaimDecision,
  ClaimKey,
  ClaimsPort,
  StoredResponse,
} from './entry-ports.js';

/** What the entry node does with a call after it has requested a claim. @internal */
export type ClaimAction =
  | {readonly kind: 'granted'}
  | {readonly kind: 'replay'; readonly answer: StoredResponse}
  | {readonly kind: 'refuse'; readonly err: MeshError};

const actions: {
  readonly [K in ClaimDecision['kind']]: (
    decision: Extract<ClaimDecision, {kind: K}>,
  ) => ClaimAction;
} = {
  granted: () => ({kind: 'granted'}),
  inProgress: () => refuse(CLAIM_CODES.inProgress),
  unknown: () => refuse(CLAIM_CODES.mayHaveRun),
  finished: ({answer}) =>
    answer.body ? {kind: 'replay', answer} : refuse(CLAIM_CODES.alreadyRun),
};

/** Requests a claim. If that fails, the call is refused and has not run. */
export async function beginClaim(
  claims: ClaimsPort,
  claim: ClaimKey,
  timeoutMs: number,
): Promise<ClaimAction> {
  const begun = await claims.begin(claim, timeoutMs);
  if (begun.isErr) {
    const {message, code} = begun.error;
    if (code === CLAIM_CODES.storeWentBack) return refuse(code);
    const cause = {cause: code.name};
    const err = new MeshError(CLAIM_CODES.unavailable, message, cause);
    return {kind: 'refuse', err};
  }
  const decide = actions[begun.value.kind] as (d: ClaimDecision) => ClaimAction;
  return decide(begun.value);
}

function refuse(code: ResultCode): ClaimAction {
  return {kind: 'refuse', err: new MeshError(code, code.text)};
}
