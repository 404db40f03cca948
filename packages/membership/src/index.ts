/**
 * SWIM-style membership: which instances exist and the state of each one.
 *
 * @packageDocumentation
 */
export {announcementSchema} from './announcement.js';
export type {Announcement} from './announcement.js';
export {Gossip} from './gossip.js';
export type {PeerConfigListener} from './gossip.js';
export {GOSSIP_DEFAULTS, suspicionMs} from './gossip-options.js';
export type {GossipOptions} from './gossip-options.js';
export {NODE_STATES, UPSTREAM_STATES} from './instance-record.js';
export type {
  InstanceRecord,
  NodeState,
  UpstreamRecord,
  UpstreamState,
} from './instance-record.js';
export {MemberTable} from './member-table.js';
export type {
  MemberChange,
  MemberListener,
  MemberTableOptions,
} from './member-table.js';
export {decodeGossip, encodeGossip} from './message-codec.js';
export {gossipMessageSchema} from './messages.js';
export type {GossipAction, GossipMessage, GossipMessageOf} from './messages.js';
export {DIGEST_BUCKETS} from './table-digest.js';
export {
  decodeRecord,
  encodeRecord,
  keyOf,
  recordKeySchema,
  updateSchema,
} from './update.js';
export type {RecordKey, RecordTuple, Update} from './update.js';
export {UpstreamMonitor} from './upstream-monitor.js';
export type {
  UpstreamListener,
  UpstreamMonitorOptions,
} from './upstream-monitor.js';
