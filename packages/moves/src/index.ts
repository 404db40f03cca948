/**
 * Version moves: evidence, tests, pace, state machine, entry gate and
 * controller.
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
export {TrafficSplitter} from './move-gate.js';
export type {
  SplitterFlush,
  IsReady,
  TrafficSplitterOptions,
} from './move-gate.js';
export {
  MoveAnalyzer,
  controllerAlphaPart,
  localAlphaPart,
} from './move-judge.js';
export type {AnalyzerOptions} from './move-judge.js';
export {
  applyPlan,
  startRecord,
  takeBack,
  waitingRecord,
} from './move-machine.js';
export type {ChangeStamp, MovePlan} from './move-machine.js';
export {MoveDecider} from './move-pilot.js';
export type {DecisionInput} from './move-pilot.js';
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
export {controlShare, firstShare} from './share-pace.js';
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
export {analyzeRollout, ROLLOUT_FAULTS} from './rollout-judge.js';
export type {RolloutFault, RolloutFinding} from './rollout-judge.js';
export {canaryShare, mayFinish, plannedShare} from './rollout-plan.js';
export type {RolloutBounds, RolloutProgress} from './rollout-plan.js';
