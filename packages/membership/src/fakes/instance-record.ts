import type {InstanceRecord} from '../instance-record.js';

/** Creates a record of a live node without an upstream. @internal */
export function record(change: Partial<InstanceRecord> = {}): InstanceRecord {
  return {
    nodeId: 'a',
    incarnation: 1,
    sequence: 1,
    address: '10.0.0.1:1',
    dataCentre: 'dc',
    region: 'r',
    environment: 'e',
    state: 'alive',
    upstream: null,
    relay: false,
    configVersion: 0,
    ...change,
  };
}
