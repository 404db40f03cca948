import {logger, newId} from '@verbenabeam/core';
import type {Clock, MeshError} from '@verbenabeam/core';
import type {CompiledDocument, Strictness} from '@verbenabeam/document';
import {MOVE_POLICIES, MoveController, ServiceLoad} from '@verbenabeam/moves';
import type {
  ControllerOutput,
  Evidence,
  LoadEstimate,
  MovePlan,
  MoveStop,
} from '@verbenabeam/moves';
import type {Store} from '@verbenabeam/store';
import type {Result} from 'true-myth';
import {movePlans} from './move-plans.js';

/** Interval at which a relay that is not the controller requests the lease. */
const idleTickMs = 5_000;
const log = logger('moves');

/** Options of {@link ControllerDriver}. @internal */
export interface ControllerDriverOptions {
  readonly store: Store;
  readonly clock: Clock;
  readonly environment: string;
  readonly nodeId: string;
  /**
   * Only relays request the controller lease, to limit the number of store
   * calls.
   */
  readonly isRelay: () => boolean;
  /**
   * Maximum share of calls that the ready instances of the new version can
   * serve.
   */
  readonly capacityShare: (plan: MovePlan, load: LoadEstimate | null) => number;
  readonly onOutput: (output: ControllerOutput) => void;
}

/** Runs the move controller while this node is a relay. @internal */
export class ControllerDriver {
  readonly #options: ControllerDriverOptions;
  /** Load of the service of each move, by move id. */
  readonly #loads = new Map<string, ServiceLoad>();
  #controller: MoveController;
  #strictness: Strictness = 'careful';
  #document: CompiledDocument | null = null;
  #holdsLease = false;
  #isTicking = false;
  #tickAt = 0;

  constructor(options: ControllerDriverOptions) {
    this.#options = options;
    this.#controller = this.#create();
  }

  /** True while this node holds the controller lease. */
  get holdsLease(): boolean {
    return this.#holdsLease;
  }

  /** Applies a new document. A changed strictness replaces the controller. */
  onDocument(document: CompiledDocument): void {
    this.#document = document;
    const ids = new Set(document.moves.map(move => move.id));
    for (const id of this.#loads.keys()) {
      if (!ids.has(id)) this.#loads.delete(id);
    }
    if (document.strictness === this.#strictness) return;
    this.#strictness = document.strictness;
    void this.#controller.close();
    this.#holdsLease = false;
    this.#controller = this.#create();
  }

  addEvidence(evidence: readonly Evidence[]): void {
    const now = this.#options.clock.now();
    this.#controller.addEvidence(evidence, now);
    for (const part of evidence) {
      const load = this.#loads.get(part.moveId) ?? new ServiceLoad();
      this.#loads.set(part.moveId, load);
      load.add(part, now);
    }
  }

  addStops(stops: readonly MoveStop[]): void {
    this.#controller.addStops(stops);
  }

  requestTakeBack(
    moveId: string,
    operator: string,
  ): Result<MoveStop, MeshError> {
    const wallTime = this.#options.clock.wallTime();
    return this.#controller.requestTakeBack(moveId, operator, wallTime);
  }

  /** Called once a second. */
  async tick(now: number): Promise<void> {
    const plans = this.#document ? movePlans(this.#document) : [];
    if (this.#isTicking || !this.#isDue(now, plans)) return;
    this.#isTicking = true;
    this.#tickAt = now + idleTickMs;
    const {clock, onOutput} = this.#options;
    for (const load of this.#loads.values()) load.update(now);
    const capacityShare = (plan: MovePlan) => this.#capacityShare(plan);
    try {
      const wallTime = clock.wallTime();
      const input = {now, wallTime, plans, capacityShare};
      const output = await this.#controller.tick(input);
      if (output.holdsLease !== this.#holdsLease) {
        log('Controller role changed.', {controller: output.holdsLease});
      }
      this.#holdsLease = output.holdsLease;
      onOutput(output);
    } finally {
      this.#isTicking = false;
    }
  }

  /** Releases the controller lease. */
  async close(): Promise<void> {
    await this.#controller.close();
  }

  #capacityShare(plan: MovePlan): number {
    const load = this.#loads.get(plan.moveId)?.estimate() ?? null;
    return this.#options.capacityShare(plan, load);
  }

  #isDue(now: number, plans: readonly MovePlan[]): boolean {
    if (this.#holdsLease) return true;
    return plans.length > 0 && this.#options.isRelay() && now >= this.#tickAt;
  }

  #create(): MoveController {
    const {store, environment, nodeId} = this.#options;
    const policy = MOVE_POLICIES[this.#strictness];
    return new MoveController({store, environment, nodeId, newId, policy});
  }
}
