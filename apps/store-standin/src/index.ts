/**
 * Stand-in of the platform's store: the etcd v3 JSON gateway subset that the
 * system uses, with state in memory and faults set by a control endpoint.
 *
 * @packageDocumentation
 */
export {startStoreStandin} from './store-standin.js';
export type {StoreStandin, StoreStandinOptions} from './store-standin.js';
export type {FaultSettings} from './faults.js';
export type {StandinCounts} from './faults.js';
