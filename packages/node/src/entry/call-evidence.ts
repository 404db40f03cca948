import {hashText} from '@verbenabeam/core';
import type {Clock} from '@verbenabeam/core';
import {CALL_OUTCOMES, warmUpMs} from '@verbenabeam/moves';
import type {CallOutcome, CallOutcomeKind} from '@verbenabeam/moves';
import {OUTCOMES} from '../calls/index.js';
import type {AttemptRecord, CallRecord, Outcome} from '../calls/index.js';
import type {MembershipService} from '../membership/membership-service.js';

/** Losses at one instance within this time count as one crash. */
const crashWindowMs = 3_000;

const kinds: Readonly<Record<Outcome, CallOutcomeKind>> = {
  [OUTCOMES.ok]: CALL_OUTCOMES.ok,
  [OUTCOMES.failed]: CALL_OUTCOMES.failed,
  [OUTCOMES.refused]: CALL_OUTCOMES.ignored,
  [OUTCOMES.shed]: CALL_OUTCOMES.ignored,
  [OUTCOMES.unreachable]: CALL_OUTCOMES.ignored,
  [OUTCOMES.lost]: CALL_OUTCOMES.crashed,
  [OUTCOMES.timeout]: CALL_OUTCOMES.failed,
  [OUTCOMES.cancelled]: CALL_OUTCOMES.ignored,
};

/** Turns records of calls into evidence on upstream versions. @internal */
export class CallEvidence {
  readonly #membership: MembershipService;
  readonly #clock: Clock;

  constructor(membership: MembershipService, clock: Clock) {
    this.#membership = membership;
    this.#clock = clock;
  }

  /** One outcome for each attempt that reached an instance. */
  of(record: CallRecord): CallOutcome[] {
    const {route, service} = record;
    if (route === null || service === null) return [];
    const fingerprint = hashText(`${service} ${record.method} ${record.path}`);
    return record.attempts.map(attempt => ({
      service,
      route,
      version: attempt.version,
      kind: kinds[attempt.outcome],
      latencyMs: attempt.latencyMs,
      cold: this.#isCold(attempt.nodeId),
      fingerprint,
      ...this.#crashOf(attempt),
    }));
  }

  #isCold(nodeId: string): boolean {
    const record = this.#membership.gossip.table.get(nodeId);
    const readySince = record?.upstream?.readySince ?? 0;
    return this.#clock.wallTime() - readySince < warmUpMs;
  }

  #crashOf({nodeId, outcome}: AttemptRecord): {crashId?: string} {
    if (outcome !== OUTCOMES.lost) return {};
    const window = Math.floor(this.#clock.wallTime() / crashWindowMs);
    return {crashId: `${nodeId}/${window}`};
  }
}
