import type {Candidate} from '@verbenabeam/routing';
import type {MembershipView} from '../entry/instance-adapter.js';

/**
 * Fewer than the concurrent calls, so that some calls wait and some are
 * refused.
 *
 * @internal
 */
export const warmUpSlots = 3;
/** Beyond the slow start of instances. */
const readyMs = 60_000;
const locality = {dataCentre: 'warm-up', region: 'warm-up'};

/** A node that serves warm-up calls. @internal */
export interface WarmUpMember {
  readonly nodeId: string;
  readonly wireAddress: string;
}

/** Fixed membership of the nodes of a warm-up. @internal */
export class WarmUpMembers implements MembershipView {
  readonly own;
  #members: readonly WarmUpMember[] = [];
  #candidates: readonly Candidate[] = [];

  constructor(nodeId: string) {
    this.own = {nodeId, ...locality};
  }

  set(members: readonly WarmUpMember[]): void {
    this.#members = members;
    const {dataCentre} = locality;
    this.#candidates = members.map(({nodeId}) => ({
      nodeId,
      dataCentre,
      slots: warmUpSlots,
      readySince: performance.now() - readyMs,
    }));
  }

  candidates(): readonly Candidate[] {
    return this.#candidates;
  }

  addressOf(id: string): string | undefined {
    return this.#members.find(({nodeId}) => nodeId === id)?.wireAddress;
  }

  live(): readonly WarmUpMember[] {
    return this.#members;
  }
}
