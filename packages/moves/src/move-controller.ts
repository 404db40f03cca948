import {MOVE_CODES, MeshError, logger} from '@verbenabeam/core';
import type {Store} from '@verbenabeam/store';
import {err, ok} from 'true-myth/result';
import type {Result} from 'true-myth';
import {ControllerLease} from './controller-lease.js';
import type {Evidence} from './evidence.js';
import {
  applyPlan,
  startRecord,
  takeBack,
  waitingRecord,
} from './move-transitions.js';
import type {ChangeStamp, MovePlan} from './move-transitions.js';
import {MoveDecider} from './move-decider.js';
import type {MovePolicy} from './move-policy.js';
import {MOVE_STATES, isTerminal} from './move-record.js';
import type {MoveRecord} from './move-record.js';
import {StopSet} from './move-stop.js';
import type {MoveStop} from './move-stop.js';
import {MoveStore} from './move-store.js';

const log = logger('moves');

/** Options of a controller. @public */
export interface MoveControllerOptions {
  readonly store: Store;
  readonly environment: string;
  readonly nodeId: string;
  /** Creates operation ids. */
  readonly newId: () => string;
  readonly policy: MovePolicy;
}

/** Input of one tick. @public */
export interface ControllerInput {
  /** Monotonic time in milliseconds. */
  readonly now: number;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  readonly wallTime: number;
  /** Moves of the active document. */
  readonly plans: readonly MovePlan[];
  /** Largest share that the ready instances of `to` can serve, 0 to 1. */
  readonly capacityShare: (plan: MovePlan) => number;
}

/** Output of one tick, which the node sends to other nodes. @public */
export interface ControllerOutput {
  readonly holdsLease: boolean;
  /** Changed records, for `move` pushes. */
  readonly records: readonly MoveRecord[];
  /** Stops that this controller has just decided. */
  readonly stops: readonly MoveStop[];
}

/**
 * Runs the moves of one environment. Once a second, a tick acquires or renews
 * the lease, decides on each move, and writes steps by compare-and-swap.
 * Several controllers at once do no harm. While the store is down, the
 * controller still decides and sends stops; it writes the record when the store
 * responds again.
 *
 * @public
 */
export class MoveController {
  readonly #options: MoveControllerOptions;
  readonly #lease: ControllerLease;
  readonly #records: MoveStore;
  readonly #deciders = new Map<string, MoveDecider>();
  readonly #stops = new StopSet();
  readonly #operatorStops: MoveStop[] = [];
  readonly #reported = new Map<string, string>();
  #loaded = false;

  constructor(options: MoveControllerOptions) {
    this.#options = options;
    const {store, environment, nodeId} = options;
    this.#lease = new ControllerLease(store, environment, nodeId);
    this.#records = new MoveStore(store, environment);
  }

  /**
   * Adds evidence from the evidence tree. Evidence of moves that are not
   * running here is dropped.
   */
  addEvidence(parts: readonly Evidence[], now: number): void {
    for (const evidence of parts) {
      const record = this.#records.get(evidence.moveId);
      const decider = this.#deciders.get(evidence.moveId);
      if (record?.state !== MOVE_STATES.running || !decider) continue;
      decider.addEvidence(evidence, record, now);
    }
  }

  /** Adds stops that entry nodes decided. */
  addStops(stops: readonly MoveStop[]): void {
    this.#stops.merge(stops);
  }

  /**
   * Takes a move back at the request of an operator. The stop takes effect with
   * the next tick and does not need the store.
   */
  requestTakeBack(
    moveId: string,
    operator: string,
    wallTime: number,
  ): Result<MoveStop, MeshError> {
    const record = this.#records.get(moveId);
    if (!record) {
      return err(
        new MeshError(MOVE_CODES.unknownMove, `no move has the id "${moveId}"`),
      );
    }
    if (isTerminal(record)) {
      return err(
        new MeshError(
          MOVE_CODES.alreadyDecided,
          `move "${moveId}" is ${record.state} already: ${record.reason}`,
        ),
      );
    }
    const stop: MoveStop = {
      moveId,
      step: record.step,
      reason: `taken back by operator ${operator}`,
      decidedBy: operator,
      decidedAt: wallTime,
    };
    if (this.#stops.add(stop)) this.#operatorStops.push(stop);
    return ok(this.#stops.get(moveId) ?? stop);
  }

  /** The last known record of a move. */
  record(moveId: string): MoveRecord | null {
    return this.#records.get(moveId);
  }

  /** Advances all moves. Called once a second. */
  async tick(input: ControllerInput): Promise<ControllerOutput> {
    const holdsLease = await this.#lease.acquireOrRenew(input.now);
    if (holdsLease && !this.#loaded) {
      this.#loaded = (await this.#records.load()).isOk;
    }
    // A controller that gets the lease again must not plan from old records.
    if (!holdsLease) this.#loaded = false;
    const stops = this.#operatorStops.splice(0);
    for (const plan of input.plans) {
      const stop = this.#analyze(plan, input);
      if (stop) stops.push(stop);
    }
    if (this.#loaded) {
      for (const plan of input.plans) await this.#advance(plan, input);
    }
    return {holdsLease, records: this.#changedRecords(input.plans), stops};
  }

  /** Revokes the lease at a planned stop of the node. */
  async close(): Promise<void> {
    await this.#lease.release();
  }

  /** Runs the tests of a move, which need no store. */
  #analyze(plan: MovePlan, input: ControllerInput): MoveStop | null {
    const record = this.#records.get(plan.moveId);
    const decider = this.#deciders.get(plan.moveId);
    if (record?.state !== MOVE_STATES.running || !decider) return null;
    const verdict = decider.verdict(input.now);
    if (verdict.kind !== 'stop') return null;
    const stop: MoveStop = {
      moveId: plan.moveId,
      step: record.step,
      reason: verdict.reason,
      decidedBy: this.#options.nodeId,
      decidedAt: input.wallTime,
    };
    return this.#stops.add(stop) ? stop : null;
  }

  async #advance(plan: MovePlan, input: ControllerInput): Promise<void> {
    const next = this.#nextRecord(plan, input);
    if (!next) return;
    const written = await this.#records.write(next);
    if (written.isErr) {
      log('Move record could not be written to the store.', {
        move: plan.moveId,
        step: next.step,
        code: written.error.code.name,
      });
      return;
    }
    const {step, state, share, reason} = written.value;
    log('Stored move record.', {move: plan.moveId, step, state, share, reason});
  }

  #nextRecord(plan: MovePlan, input: ControllerInput): MoveRecord | null {
    const {moveId} = plan;
    const stamp = this.#stamp(input);
    const stored = this.#records.get(moveId);
    if (!stored) return waitingRecord(plan, stamp);
    // Operators may change the deadline of a running move.
    const record = {...stored, deadline: plan.deadlineAt};
    if (isTerminal(record)) return null;
    const stop = this.#stops.get(moveId);
    if (stop) {
      return takeBack(record, stop.reason, {
        ...stamp,
        decidedBy: stop.decidedBy,
      });
    }
    const capacity = input.capacityShare(plan);
    if (record.state === MOVE_STATES.waiting) {
      const due = input.wallTime >= (plan.startAt ?? 0);
      return due && capacity > 0 ? startRecord(record, capacity, stamp) : null;
    }
    const decided = this.#decider(plan).decide({
      record,
      now: input.now,
      wallTime: input.wallTime,
      capacityShare: capacity,
    });
    return applyPlan(record, decided, stamp);
  }

  #decider(plan: MovePlan): MoveDecider {
    const known = this.#deciders.get(plan.moveId);
    if (known) return known;
    const decider = new MoveDecider(plan, this.#options.policy);
    this.#deciders.set(plan.moveId, decider);
    return decider;
  }

  #stamp(input: ControllerInput): ChangeStamp {
    const {nodeId, newId} = this.#options;
    const {wallTime} = input;
    return {decidedBy: nodeId, wallTime, operationId: newId()};
  }

  /** Records that have not been reported yet, compared by operation id. */
  #changedRecords(plans: readonly MovePlan[]): MoveRecord[] {
    const changed: MoveRecord[] = [];
    for (const {moveId} of plans) {
      const record = this.#records.get(moveId);
      if (!record || this.#reported.get(moveId) === record.operationId)
        continue;
      this.#reported.set(moveId, record.operationId);
      changed.push(record);
    }
    return changed;
  }
}
