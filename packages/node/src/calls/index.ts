/**
 * The data path: entry side, serving side and call records.
 *
 * @packageDocumentation
 */
export {AcceptDelayMonitor} from './accept-delay-monitor.js';
export {CALL_STREAM} from './call-head.js';
export type {CallHead} from './call-head.js';
export {minServerErrorStatus} from './attempt.js';
export {
  bodyBytesOf,
  CALL_HEADERS,
  headerValue,
  forwardableHeaders,
} from './call-headers.js';
export type {CallerHeaders} from './call-headers.js';
export {CallLog} from './call-log.js';
export {RESPONSE_KINDS} from './call-protocol.js';
export type {
  ResponseKind,
  CallProtocol,
  ForwardedResponse,
  RefusalResponse,
} from './call-protocol.js';
export type {AttemptRecord, CallRecord} from './call-record.js';
export {CallWaits, WAIT_PLACES} from './call-waits.js';
export {TimeTotals} from './time-totals.js';
export type {TimeTotal} from './time-totals.js';
export type {WaitPlace} from './call-waits.js';
export {DataPath} from './data-path.js';
export {drainCalls} from './drain-calls.js';
export {EntryHandler} from './entry-handler.js';
export {OUTCOMES} from './entry-ports.js';
export type {
  AttemptOutcome,
  CallObserver,
  ClaimDecision,
  ClaimKey,
  ClaimResult,
  ClaimsPort,
  ConfigPort,
  EntryPorts,
  InstanceChooser,
  LocalServing,
  Outcome,
  RouteQuery,
  StoredResponse,
  Target,
  VersionChoice,
  VersionChooser,
} from './entry-ports.js';
export {EventLoopMonitor} from './event-loop-monitor.js';
export {CallScheduler} from './call-scheduler.js';
export type {ScheduledCall, CallSchedulerOptions} from './call-scheduler.js';
export type {LoopDelay} from './event-loop-monitor.js';
export {nativeProtocol} from './native-protocol.js';
export type {ResponseMetadata} from './response-metadata.js';
export {ServingHandler} from './serving-handler.js';
export type {
  AdmissionDecision,
  AdmissionPort,
  AdmissionRequest,
  LostRequest,
  OwnUpstream,
  OwnUpstreamPort,
  QuarantinePort,
  ServingPorts,
  StoppedVersions,
  Ticket,
} from './serving-ports.js';
