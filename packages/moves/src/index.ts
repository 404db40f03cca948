/**
 * Version moves: they shift the calls of a service from one upstream version to
 * another. The package holds the evidence of both versions, the sequential
 * tests, the share schedule, the record states, the traffic splitter of the
 * entry nodes and the controller.
 *
 * @packageDocumentation
 */
export {CALL_OUTCOMES, warmUpMs} from './call-outcome.js';
export type {CallOutcome, CallOutcomeKind} from './call-outcome.js';
export {capacityShare} from './capacity-share.js';
export type {CapacityInput} from './capacity-share.js';
export {controllerKey, controllerLeaseMs} from './controller-lease.js';
export {mergeEvidence} from './evidence.js';
export type {Counts, CrashReport, Evidence, EvidenceCell} from './evidence.js';
export {packEvidence, unpackEvidence} from './evidence-codec.js';
export type {PackedEvidence} from './evidence-codec.js';
export {loadLevel} from './evidence-recorder.js';
export {
  EvidenceAggregator,
  evidenceTreeFanOut,
  parentIndex,
} from './evidence-tree.js';
export {latencyBin, latencyBinCount, lowerEdgeMs} from './latency-bins.js';
export type {BinaryBlock} from './likelihood.js';
export {MixtureTest} from './mixture-test.js';
export {MoveController} from './move-controller.js';
export type {
  ControllerInput,
  ControllerOutput,
  MoveControllerOptions,
} from './move-controller.js';
export {TrafficSplitter} from './traffic-splitter.js';
export type {
  SplitterFlush,
  IsReady,
  TrafficSplitterOptions,
} from './traffic-splitter.js';
export {
  MoveAnalyzer,
  controllerAlphaPart,
  localAlphaPart,
} from './move-analyzer.js';
export type {AnalyzerOptions} from './move-analyzer.js';
export {
  applyPlan,
  startRecord,
  takeBack,
  waitingRecord,
} from './move-transitions.js';
export type {ChangeStamp, MovePlan} from './move-transitions.js';
export {MoveDecider} from './move-decider.js';
export type {DecisionInput} from './move-decider.js';
export {MOVE_POLICIES} from './move-policy.js';
export type {MovePolicy} from './move-policy.js';
export {
  MOVE_STATES,
  decodeRecord,
  encodeRecord,
  isTerminal,
  mergeRecords,
  moveRecordSchema,
} from './move-record.js';
export type {MoveRecord, MoveState} from './move-record.js';
export {StopSet, moveStopSchema, parseMoveStop} from './move-stop.js';
export type {MoveStop} from './move-stop.js';
export {moveKey, movesPrefix} from './move-store.js';
export {ServiceLoad} from './service-load.js';
export type {LoadEstimate} from './service-load.js';
export type {PlannerInput} from './planner-input.js';
export {controlShare, firstShare} from './share-schedule.js';
export {planShare} from './share-planner.js';
export type {Plan} from './share-planner.js';
export type {Verdict} from './verdict.js';
export {RolloutEvidence} from './rollout-evidence.js';
export type {
  EvidenceReport,
  EvidenceRow,
  RolloutSample,
  RouteCounts,
  SideCounts,
} from './rollout-evidence.js';
export {analyzeRollout, ROLLOUT_FAULTS} from './rollout-analysis.js';
export type {RolloutFault, RolloutFinding} from './rollout-analysis.js';
export {canaryShare, mayFinish, plannedShare} from './rollout-plan.js';
export type {RolloutBounds, RolloutProgress} from './rollout-plan.js';
