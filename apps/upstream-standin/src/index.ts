/**
 * An HTTP upstream for tests, benchmarks and the demo.
 *
 * @packageDocumentation
 */
export type {AnnouncedState} from './announcer.js';
export {FAULT_KINDS, FAULT_STARTS} from './faults.js';
export type {Fault, FaultKind, FaultStart} from './faults.js';
export type {StandinOptions} from './options.js';
export type {RunCounter} from './run-counter.js';
export {startUpstream} from './upstream-standin.js';
export type {UpstreamStandin} from './upstream-standin.js';
