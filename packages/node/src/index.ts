/**
 * A mesh node: settings, listeners, data path, node protocols and admin API.
 *
 * @packageDocumentation
 */
export {MeshNode} from './mesh-node.js';
export type {NodeAddresses} from './mesh-node.js';
export {
  RESPONSE_KINDS,
  bodyBytesOf,
  headerValue,
  forwardableHeaders,
} from './calls/index.js';
export type {
  ResponseKind,
  CallerHeaders,
  CallHead,
  CallProtocol,
  OwnUpstream,
  ForwardedResponse,
  RefusalResponse,
  ResponseMetadata,
} from './calls/index.js';
export {HostedNode} from './hosted/hosted-node.js';
export type {HostedNodeOptions} from './hosted/hosted-node.js';
export type {HostedBounds, HostedSettings} from './hosted/hosted-settings.js';
export {ROLLOUT_STATES} from './hosted/operator-documents.js';
export type {
  OperatorDocument,
  OperatorFormat,
  RolloutOrder,
  RolloutState,
  RolloutStatus,
} from './hosted/operator-documents.js';
export type {
  UpstreamFormat,
  UpstreamMessage,
  UpstreamReport,
} from './hosted/upstream-report.js';
export {
  WARM_UP_KINDS,
  WarmUp,
  warmUpHost,
  warmUpService,
} from './warm-up/index.js';
export type {WarmUpOptions, WarmUpSample} from './warm-up/index.js';
export {reportFailure} from './report-failure.js';
export {loadSettings} from './settings/load-settings.js';
export {nodeSettingsSchema} from './settings/node-settings.js';
export type {NodeSettings, NodeSettingsFile} from './settings/node-settings.js';
