import type {Candidate} from '@verbenabeam/routing';
import type {InstanceMembers} from '../entry/instance-adapter.js';

/** Fewer than the calls at once, so that some wait and some are refused. @internal */
export const warmUpSlots = 3;
const place = {dataCentre: 'warm-up', region: 'warm-up'};

/** A node that the warm-up's calls go to. @internal */
export interface WarmUpMember {
  readonly nodeId: string;
  readonly wireAddress: string;
}

/** The nodes of a warm-up as a node's choice of instances sees them. @internal */
export class WarmUpMembers implements InstanceMembers {
  readonly own;
  #members: readonly WarmUpMember[] = [];
  #candidates: readonly Candidate[] = [];

  constructor(nodeId: string) {
    this.own = {nodeId, ...place};
  }

  set(members: readonly WarmUpMember[]): void {
    this.#members = members;
    const {dataCentre} = place;
    this.#candidates = members.map(({nodeId}) => ({
      nodeId,
      dataCentre,
      slots: warmUpSlots,
      readySince: 0,
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
