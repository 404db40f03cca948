/**
 * Which instances exist, and in which state.
 *
 * @packageDocumentation
 */
export {NODE_STATES, UPSTREAM_STATES} from './instance-record.js';
export type {
  InstanceRecord,
  NodeState,
  UpstreamRecord,
  UpstreamState,
} from './instance-record.js';
