import type {Clock, Invariants, RandomSource} from '@verbenabeam/core';
import type {Store} from '@verbenabeam/store';
import type {PeerBus} from '@verbenabeam/wire';
import type {CallProtocol} from '../calls/index.js';
import type {HostedSettings} from './hosted-settings.js';
import type {OperatorFormat} from './operator-documents.js';
import type {UpstreamFormat} from './upstream-report.js';

/** Dependencies of the parts of a hosted node. @internal */
export interface HostedPartsOptions {
  readonly settings: HostedSettings;
  readonly protocol: CallProtocol;
  readonly operatorFormat: OperatorFormat;
  readonly upstreamFormat: UpstreamFormat;
  /** Member id of this process. */
  readonly memberId: string;
  readonly wireAddress: string;
  readonly bus: PeerBus;
  readonly store: Store;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly invariants: Invariants;
  readonly signal: AbortSignal;
}
