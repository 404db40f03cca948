/**
 * Routing decisions for calls: choice of the instance, admission control,
 * retries, throttling and quarantine of crashing requests.
 *
 * @packageDocumentation
 */
export {Admission} from './admission.js';
export type {
  AdmissionCall,
  AdmissionDecision,
  AdmissionOptions,
  AdmissionPolicy,
} from './admission-types.js';
export {crashNoticeSchema} from './crash-notice.js';
export type {CrashNotice} from './crash-notice.js';
export {CrashQuarantine} from './crash-quarantine.js';
export type {
  CrashQuarantineOptions,
  QuarantineDecision,
} from './crash-quarantine.js';
export {Deadline, MAX_DEADLINE_MS} from './deadline.js';
export {FINGERPRINT_BODY_BYTES, fingerprintOf} from './fingerprint.js';
export type {FingerprintParts} from './fingerprint.js';
export {GradientLimit} from './gradient-limit.js';
export type {GradientOptions} from './gradient-limit.js';
export {InstancePicker} from './instance-picker.js';
export type {LoadReport} from './load-report.js';
export {CALL_OUTCOMES} from './picker-types.js';
export type {
  CallOutcome,
  Candidate,
  InstanceView,
  OutcomeReport,
  PickLimits,
  PickerOptions,
} from './picker-types.js';
export {
  DEFAULT_RETRIES,
  MAX_RETRIES,
  parseRetriesLeft,
  retriesToReport,
  RetryBudget,
} from './retry-budget.js';
export type {
  RetryBudgetOptions,
  RetryDecision,
  RetryRequest,
} from './retry-budget.js';
export {
  AdaptiveThrottle,
  THROTTLE_OUTCOMES,
  throttleGroup,
} from './adaptive-throttle.js';
export type {
  AdaptiveThrottleOptions,
  ThrottleOutcome,
  ThrottleRejection,
} from './adaptive-throttle.js';
export {SubCallRoutes} from './sub-call-routes.js';
export {RetryingCallers} from './retrying-callers.js';
export type {CallerAttempt} from './retrying-callers.js';
export {SlotQueue} from './slot-queue.js';
export type {SlotQueueOptions} from './slot-queue.js';
export {retriesAfter, RetryAllowances} from './retry-allowances.js';
export type {RetryAllowancesOptions} from './retry-allowances.js';
