import {NODE_STATES} from '@verbenabeam/membership';
import type {InstanceRecord} from '@verbenabeam/membership';
import type {HostedPartsOptions} from './hosted-parts-options.js';

/** Environment of all nodes: the platform has a single configuration. */
const environment = 'platform';

/** Initial membership record of a hosted node. @internal */
export function ownRecord(options: HostedPartsOptions): InstanceRecord {
  const {dataCentre, region} = options.settings;
  return {
    nodeId: options.memberId,
    incarnation: options.clock.wallTime(),
    sequence: 1,
    address: options.wireAddress,
    dataCentre,
    region,
    environment,
    state: NODE_STATES.alive,
    upstream: null,
    relay: false,
    configVersion: 0,
  };
}
