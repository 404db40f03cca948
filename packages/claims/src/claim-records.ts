import type {ClaimTable} from './claim-table.js';
import type {BeginRequest, FinishRequest} from './messages.js';
import type {ClaimRecord} from './segment.js';

/** Record of a claim that is granted to a call. @internal */
export function grantRecord(
  req: Pick<BeginRequest, 'claim' | 'callId' | 'holdMs'>,
  wall: number,
): ClaimRecord {
  const {claim, callId, holdMs} = req;
  return {
    claim,
    callId,
    grantedAt: wall,
    holdMs,
    state: 'granted',
    answer: null,
  };
}

/** Record of the outcome of a call; the table may lack its grant. @internal */
export function outcomeRecord(
  req: FinishRequest,
  table: ClaimTable,
  wall: number,
): ClaimRecord {
  const {claim, callId, outcome, answer} = req;
  const held = table.get(claim);
  const granted = held ?? grantRecord({claim, callId, holdMs: 0}, wall);
  const state = outcome === 'ran' ? 'ran' : 'released';
  return {...granted, state, answer};
}
