import type {Clock} from '@verbenabeam/core';
import type {Store} from '@verbenabeam/store';
import type {PeerBus} from '@verbenabeam/wire';
import type {CallLog} from '../calls/index.js';
import type {ClaimsService} from '../claims/claims-service.js';
import type {DistributionService} from '../distribution/distribution-service.js';
import type {MembershipService} from '../membership/membership-service.js';
import type {NodeMetrics} from '../metrics/node-metrics.js';
import type {MovesService} from '../moves/moves-service.js';
import type {StoreHealth} from '../store/store-health.js';

/** Dependencies of the admin API handlers. @internal */
export interface AdminContext {
  readonly membership: MembershipService;
  readonly distribution: DistributionService;
  readonly moves: MovesService;
  readonly claims: ClaimsService;
  readonly calls: CallLog;
  readonly metrics: NodeMetrics;
  readonly bus: PeerBus;
  readonly store: Store;
  readonly storeHealth: StoreHealth;
  readonly clock: Clock;
}
