import type {Clock, Invariants, RandomSource} from '@verbenabeam/core';
import type {Store} from '@verbenabeam/store';
import type {PeerBus} from '@verbenabeam/wire';
import type {CallProtocol} from '../calls/index.js';
import type {HostedSettings} from './hosted-settings.js';
import type {OperatorFormat} from './operator-documents.js';

/** What a hosted node is made from. @internal */
export interface HostedPartsOptions {
  readonly settings: HostedSettings;
  readonly protocol: CallProtocol;
  readonly operatorFormat: OperatorFormat;
  /** Name of this process among the members. */
  readonly memberId: string;
  readonly wireAddress: string;
  readonly bus: PeerBus;
  readonly store: Store;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly invariants: Invariants;
  readonly signal: AbortSignal;
}
