/**
 * Fakes for tests and stand-ins: a store in memory and a manual clock.
 *
 * @packageDocumentation
 */
export {EndlessServer} from './endless-server.js';
export {ManualClock} from './manual-clock.js';
export {maxValueBytes, MemoryState} from './memory-state.js';
export type {Rejection, StateImage, Subscription} from './memory-state.js';
export {MemoryStore} from './memory-store.js';
export type {
  CallCounts,
  MemoryStoreFaults,
  MemoryStoreOptions,
} from './memory-store.js';
export {SilentProxy} from './silent-proxy.js';
