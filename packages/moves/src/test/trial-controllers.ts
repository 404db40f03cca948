import type {RandomSource} from '@verbenabeam/core';
import type {Evidence} from '../evidence.js';
import {MoveController} from '../move-controller.js';
import type {ControllerInput, ControllerOutput} from '../move-controller.js';
import {decodeRecord} from '../move-record.js';
import type {MoveStop} from '../move-stop.js';
import {FakeStore} from './fake-store.js';
import {FixedStepController} from './fixed-step-controller.js';
import type {TrialConfig} from './trial-config.js';

/** Time until the lease of a lost controller expires, in milliseconds. */
const leaseMs = 10_000;

type Controller = MoveController | FixedStepController;

/**
 * The controllers of a trial and their store, with the disturbances: a store
 * outage, a lost controller, and two controllers at once.
 *
 * @internal
 */
export class TrialControllers {
  readonly #config: TrialConfig;
  readonly #rng: RandomSource;
  readonly #store = new FakeStore();
  #controllers: Controller[];
  #operation = 0;
  #isLost = false;

  constructor(config: TrialConfig, rng: RandomSource) {
    this.#config = config;
    this.#rng = rng;
    this.#controllers = [
      config.baseline ? new FixedStepController() : this.#create('n0'),
    ];
    if (!config.twoControllers) return;
    // The store renews the lease for any caller, so both controllers keep
    // writing.
    this.#store.keepAlive = () =>
      this.#store.get('none').then(r => r.map(() => true));
  }

  /** Adds evidence to one controller; of two, to a random one. */
  addEvidence(parts: readonly Evidence[], now: number): void {
    if (this.#controllers.length === 0) return;
    const controller =
      this.#controllers.length === 1
        ? this.#controllers[0]
        : this.#rng.pick(this.#controllers);
    controller?.addEvidence(parts, now);
  }

  addStops(stops: readonly MoveStop[]): void {
    for (const c of this.#controllers) c.addStops(stops);
  }

  async tick(input: ControllerInput): Promise<ControllerOutput> {
    this.#disturb(input.now);
    const outputs: ControllerOutput[] = [];
    for (const c of this.#controllers) outputs.push(await c.tick(input));
    return {
      holdsLease: outputs.some(o => o.holdsLease),
      records: outputs.flatMap(o => o.records),
      stops: outputs.flatMap(o => o.stops),
    };
  }

  /** Records that were stored without a higher step than the one before. */
  rewrites(): number {
    const steps = this.#store.committed.flatMap(
      value => decodeRecord(value)?.step ?? [],
    );
    return steps.filter((step, i) => step <= (steps[i - 1] ?? -1)).length;
  }

  #disturb(now: number): void {
    const {outage, controllerLostAt, twoControllers} = this.#config;
    const isDown =
      outage !== null && now >= outage.at && now < outage.at + outage.forMs;
    // The lease expires during an outage; the fake store has no clock.
    if (this.#store.down && !isDown) this.#store.expireAll();
    this.#store.down = isDown;
    if (controllerLostAt !== null) this.#replace(now, controllerLostAt);
    if (twoControllers && now > 0 && this.#controllers.length === 1) {
      this.#store.expireAll();
      this.#controllers.push(this.#create('n1'));
    }
  }

  /**
   * Replaces the controller; the new one starts with the stored record and no
   * evidence.
   */
  #replace(now: number, lostAt: number): void {
    if (now < lostAt || (this.#isLost && this.#controllers.length > 0)) return;
    this.#isLost = true;
    this.#controllers = [];
    if (now < lostAt + leaseMs) return;
    this.#store.expireAll();
    this.#controllers = [this.#create('n1')];
  }

  #create(nodeId: string): MoveController {
    return new MoveController({
      store: this.#store,
      environment: 'trial',
      nodeId,
      newId: () => `op${String(this.#operation++).padStart(6, '0')}`,
      policy: this.#config.policy,
    });
  }
}
