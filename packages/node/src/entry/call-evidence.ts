import {hashText} from '@verbenabeam/core';
import type {Clock} from '@verbenabeam/core';
import {CALL_OUTCOMES, warmUpMs} from '@verbenabeam/moves';
import type {CallOutcome, CallOutcomeKind} from '@verbenabeam/moves';
import {OUTCOMES} from '../calls/index.js';
import type {AttemptRecord, CallRecord, Outcome} from '../calls/index.js';
import type {MembershipService} from '../membership/membership-service.js';

/** Calls that one instance loses in the same time window count as one crash. */
const crashWindowMs = 3_000;

const outcomeKinds: Readonly<Record<Outcome, CallOutcomeKind>> = {
  [OUTCOMES.ok]: CALL_OUTCOMES.ok,
  [OUTCOMES.failed]: CALL_OUTCOMES.failed,
  [OUTCOMES.refused]: CALL_OUTCOMES.ignored,
  [OUTCOMES.shed]: CALL_OUTCOMES.ignored,
  [OUTCOMES.unreachable]: CALL_OUTCOMES.ignored,
  [OUTCOMES.lost]: CALL_OUTCOMES.crashed,
  [OUTCOMES.timeout]: CALL_OUTCOMES.failed,
  [OUTCOMES.cancelled]: CALL_OUTCOMES.ignored,
};

/** Converts call records into evidence about upstream versions. @internal */
export class CallEvidence {
  readonly #membership: MembershipService;
  readonly #clock: Clock;

  constructor(membership: MembershipService, clock: Clock) {
    this.#membership = membership;
    this.#clock = clock;
  }

  /** Returns one outcome per attempt; none for a call without a route. */
  outcomesOf(record: CallRecord): CallOutcome[] {
    const {route, service} = record;
    if (route === null || service === null) return [];
    const fingerprint = hashText(`${service} ${record.method} ${record.path}`);
    return record.attempts.map(attempt => ({
      service,
      route,
      version: attempt.version,
      kind: outcomeKinds[attempt.outcome],
      latencyMs: attempt.latencyMs,
      cold: this.#isCold(attempt.nodeId),
      fingerprint,
      ...this.#crashIdOf(attempt),
    }));
  }

  #isCold(nodeId: string): boolean {
    const record = this.#membership.gossip.table.get(nodeId);
    const readySince = record?.upstream?.readySince ?? 0;
    return this.#clock.wallTime() - readySince < warmUpMs;
  }

  #crashIdOf({nodeId, outcome}: AttemptRecord): {crashId?: string} {
    if (outcome !== OUTCOMES.lost) return {};
    const window = Math.floor(this.#clock.wallTime() / crashWindowMs);
    return {crashId: `${nodeId}/${window}`};
  }
}
