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
} from './move-machine.js';
import type {ChangeStamp, MovePlan} from './move-machine.js';
import {MoveDecider} from './move-pilot.js';
import type {MovePolicy} from './move-policy.js';
import {MOVE_STATES, isTerminal} from './move-record.js';
import type {MoveRecord} from './move-record.js';
import {StopSet} from './move-stop.js';
import type {MoveStop} from './move-stop.js';
import {MoveStore} from './move-store.js';

const log = logger('moves');

/** Settings of a controller. @public */
export interface MoveControllerOptions {
  readonly store: Store;
  readonly environment: string;
  readonly nodeId: string;
  /** Creates operation ids. */
  readonly newId: () => string;
  readonly policy: MovePolicy;
}

/** Facts of one tick. @public */
export interface ControllerInput {
  /** Monotonic time in milliseconds. */
  readonly now: number;
  /** Calendar time in milliseconds since the Unix epoch. */
  readonly wallTime: number;
  /** Moves of the active document. */
  readonly plans: readonly MovePlan[];
  /** Largest share that the ready instances of `to` carry, 0 to 1. */
  readonly capacityShare: (plan: MovePlan) => number;
}

/** What the node spreads after a tick. @public */
export interface ControllerOutput {
  readonly holdsLease: boolean;
  /** Records that changed, for `move` pushes. */
  readonly records: readonly MoveRecord[];
  /** Stops that this controller decided now. */
  readonly stops: readonly MoveStop[];
}

/**
 * Drives the moves of one environment: a tick a second reads the lease, asks
 * the pilots, and writes steps by compare-and-swap. Several controllers at
 * once are harmless. While the store is down, stops are still decided and
 * spread; the record is written when the store responds.
 *
 * @public
 */
export class MoveController {
  readonly #options: MoveControllerOptions;
  readonly #lease: ControllerLease;
  readonly #records: MoveStore;
  readonly #pilots = new Map<string, MoveDecider>();
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

  /** Adds evidence from the tree. Evidence of unknown moves is dropped. */
  addEvidence(parts: readonly Evidence[], now: number): void {
    for (const evidence of parts) {
      const record = this.#records.get(evidence.moveId);
      const pilot = this.#pilots.get(evidence.moveId);
      if (record?.state !== MOVE_STATES.running || !pilot) continue;
      pilot.addEvidence(evidence, record, now);
    }
  }

  /** Adds stops of entry nodes. */
  addStops(stops: readonly MoveStop[]): void {
    this.#stops.merge(stops);
  }

  /**
   * Takes a move back on an operator's demand. The stop takes effect with the
   * next tick, and does not need the store.
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

  /** The record of a move as last seen. */
  record(moveId: string): MoveRecord | null {
    return this.#records.get(moveId);
  }

  /** Called once a second. */
  async tick(input: ControllerInput): Promise<ControllerOutput> {
    const holdsLease = await this.#lease.hold(input.now);
    if (holdsLease && !this.#loaded) {
      this.#loaded = (await this.#records.load()).isOk;
    }
    // A controller that returns must not plan from records that it remembers.
    if (!holdsLease) this.#loaded = false;
    const stops = this.#operatorStops.splice(0);
    for (const plan of input.plans) {
      const stop = this.#judge(plan, input);
      if (stop) stops.push(stop);
    }
    if (this.#loaded) {
      for (const plan of input.plans) await this.#advance(plan, input);
    }
    return {holdsLease, records: this.#changedRecords(input.plans), stops};
  }

  /** Gives up the lease at a planned stop of the node. */
  async close(): Promise<void> {
    await this.#lease.release();
  }

  /** Runs the tests; the store has no part in it. */
  #judge(plan: MovePlan, input: ControllerInput): MoveStop | null {
    const record = this.#records.get(plan.moveId);
    const pilot = this.#pilots.get(plan.moveId);
    if (record?.state !== MOVE_STATES.running || !pilot) return null;
    const verdict = pilot.verdict(input.now);
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
      log('Record not written.', {
        move: plan.moveId,
        step: next.step,
        code: written.error.code.name,
      });
      return;
    }
    const {step, state, share, reason} = written.value;
    log('Record is now.', {move: plan.moveId, step, state, share, reason});
  }

  #nextRecord(plan: MovePlan, input: ControllerInput): MoveRecord | null {
    const {moveId} = plan;
    const stamp = this.#stamp(input);
    const stored = this.#records.get(moveId);
    if (!stored) return waitingRecord(plan, stamp);
    // Operators may change the deadline of a move that runs.
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
    const decided = this.#pilot(plan).decide({
      record,
      now: input.now,
      wallTime: input.wallTime,
      capacityShare: capacity,
    });
    return applyPlan(record, decided, stamp);
  }

  #pilot(plan: MovePlan): MoveDecider {
    const known = this.#pilots.get(plan.moveId);
    if (known) return known;
    const pilot = new MoveDecider(plan, this.#options.policy);
    this.#pilots.set(plan.moveId, pilot);
    return pilot;
  }

  #stamp(input: ControllerInput): ChangeStamp {
    const {nodeId, newId} = this.#options;
    const {wallTime} = input;
    return {decidedBy: nodeId, wallTime, operationId: newId()};
  }

  /** Records that were not reported yet, by operation id. */
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
