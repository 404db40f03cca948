import {MOVE_STATES, isTerminal} from './move-record.js';
import type {MoveRecord} from './move-record.js';
import type {Plan} from './share-planner.js';
import {firstShare} from './share-schedule.js';

/** A planned move, from the document. Times since the Unix epoch. @public */
export interface MovePlan {
  readonly moveId: string;
  readonly service: string;
  readonly from: string;
  readonly to: string;
  /** Start time; null starts the move at once. */
  readonly startAt: number | null;
  readonly deadlineAt: number;
  /** Names of the routes of the service. */
  readonly routes: readonly string[];
}

/** Author, time and operation id of a change to a record. @public */
export interface ChangeStamp {
  readonly decidedBy: string;
  readonly wallTime: number;
  readonly operationId: string;
}

/** The record of a move that has not started. @public */
export function waitingRecord(plan: MovePlan, stamp: ChangeStamp): MoveRecord {
  return {
    moveId: plan.moveId,
    service: plan.service,
    from: plan.from,
    to: plan.to,
    step: 0,
    share: 0,
    reached: 0,
    state: MOVE_STATES.waiting,
    reason: 'waits for its start time and a ready instance of the new version',
    deadline: plan.deadlineAt,
    ...stampFields(stamp),
  };
}

/**
 * The record after the first step; null unless the record is waiting.
 *
 * @public
 */
export function startRecord(
  record: MoveRecord,
  capacity: number,
  stamp: ChangeStamp,
): MoveRecord | null {
  if (record.state !== MOVE_STATES.waiting) return null;
  return change(record, stamp, {
    state: MOVE_STATES.running,
    share: Math.min(firstShare, capacity),
    reason: 'started',
  });
}

/** The record after `plan`; null when the plan changes nothing. @public */
export function applyPlan(
  record: MoveRecord,
  plan: Plan,
  stamp: ChangeStamp,
): MoveRecord | null {
  if (record.state !== MOVE_STATES.running) return null;
  const {reason} = plan;
  if (plan.kind === 'setShare') {
    return change(record, stamp, {share: plan.share, reason});
  }
  if (plan.kind === 'done') {
    return change(record, stamp, {state: MOVE_STATES.done, share: 1, reason});
  }
  return plan.kind === 'takeBack' ? takeBack(record, reason, stamp) : null;
}

/**
 * The record in the state `takenBack`; null when the move has already ended.
 *
 * @public
 */
export function takeBack(
  record: MoveRecord,
  reason: string,
  stamp: ChangeStamp,
): MoveRecord | null {
  if (isTerminal(record)) return null;
  return change(record, stamp, {
    state: MOVE_STATES.takenBack,
    share: 0,
    reason,
  });
}

function change(
  record: MoveRecord,
  stamp: ChangeStamp,
  fields: Partial<MoveRecord>,
): MoveRecord {
  const step = record.step + 1;
  const changed = {...record, ...fields, step, ...stampFields(stamp)};
  return {...changed, reached: Math.max(record.reached, changed.share)};
}

function stampFields(stamp: ChangeStamp) {
  return {
    decidedBy: stamp.decidedBy,
    operationId: stamp.operationId,
    changedAt: stamp.wallTime,
  };
}
