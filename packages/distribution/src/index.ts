/**
 * Versions of the configuration: what may be applied, how it spreads, how it is
 * accepted.
 *
 * @packageDocumentation
 */
export {Acceptance} from './acceptance.js';
export type {Accepted, AcceptanceOptions} from './acceptance.js';
export {CompileAhead} from './compile-ahead.js';
export type {CompileAheadOptions} from './compile-ahead.js';
export {DistributionDriver} from './distribution-driver.js';
export type {
  DistributionDriverOptions,
  DistributionSender,
} from './distribution-driver.js';
export {Distributor} from './distributor.js';
export type {DistributorOptions, FleetView} from './distributor-options.js';
export type {Effect} from './effect.js';
export {FullTextCap} from './full-text-cap.js';
export type {FullTextCapOptions} from './full-text-cap.js';
export {
  configContentSchema,
  versionContentSchema,
} from './messages/config-content.js';
export type {ConfigContent, VersionContent} from './messages/config-content.js';
export {configDigestSchema} from './messages/config-digest.js';
export type {ConfigDigest} from './messages/config-digest.js';
export {
  CONFIG_PULL,
  configPullRequestSchema,
  configPullResponseSchema,
} from './messages/config-pull.js';
export type {
  ConfigPullRequest,
  ConfigPullResponse,
} from './messages/config-pull.js';
export {CONFIG_PUSH, configPushSchema} from './messages/config-push.js';
export type {ConfigPush} from './messages/config-push.js';
export {parseMessage} from './messages/parse-message.js';
export {PushPlanner} from './push-planner.js';
export type {PushMember, PushPlannerOptions} from './push-planner.js';
export {PUSH_FANOUT, pushTargets} from './push-tree.js';
export {RelayDriver} from './relay-driver.js';
export type {RelayDriverOptions} from './relay-driver.js';
export {RELAY_LEASE_MS, RELAY_SLOTS, RelayPolicy} from './relay-policy.js';
export type {RelaySlot, RelayStep} from './relay-policy.js';
export {StartInquiry} from './start-inquiry.js';
export {STORE_KEYS} from './store-keys.js';
export {headRecordSchema, versionMetadataSchema} from './store-records.js';
export type {
  HeadRecord,
  VersionMetadata,
  VersionRecord,
} from './store-records.js';
export {VersionArchive} from './version-archive.js';
export type {HistoryOptions} from './version-archive.js';
export type {Promotion, Submission} from './submission.js';
export {VersionTracker} from './version-tracker.js';
export type {Candidate, TrackerStatus} from './version-tracker.js';
