import type {Clock, Invariants, RandomSource} from '@verbenabeam/core';
import type {Store} from '@verbenabeam/store';
import type {PeerBus} from '@verbenabeam/wire';
import type {MembershipService} from './membership/membership-service.js';

/** Dependencies that the services of a node share. @internal */
export interface NodeContext {
  readonly membership: MembershipService;
  readonly bus: PeerBus;
  readonly store: Store;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly invariants: Invariants;
  /** Aborts when the node stops. */
  readonly signal: AbortSignal;
}
