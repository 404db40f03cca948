import {seededRandom} from '@verbenabeam/core';
import {stopNode} from './fault-handlers.js';
import type {FaultWorld} from './fault-handlers.js';
import type {Machine} from './machine.js';

/** Nodes that may stop at the same time. */
const lanes = 2;
const pollMs = 50;
const servingWithinMs = 15_000;
const maxPauseMs = 800;

/** Stops nodes as planned, one after the other in each lane. */
export class StopSeries {
  readonly #world: FaultWorld;
  readonly #seed: number;
  readonly #isServing: (machine: Machine) => Promise<boolean>;
  stops = 0;

  constructor(
    world: FaultWorld,
    seed: number,
    isServing: (machine: Machine) => Promise<boolean>,
  ) {
    this.#world = world;
    this.#seed = seed;
    this.#isServing = isServing;
  }

  async run(count: number): Promise<void> {
    await Promise.all(
      Array.from({length: lanes}, (_, lane) => this.#runLane(lane, count)),
    );
  }

  async #runLane(lane: number, count: number): Promise<void> {
    const random = seededRandom(this.#seed * lanes + lane);
    const all = this.#world.machines;
    const machines = all.filter(({at}) => at % lanes === lane);
    while (this.stops < count) {
      const machine = random.pick(machines);
      const step = {machine, ms: 0, x: random.float()};
      if (await stopNode(this.#world, step)) this.stops++;
      const endAt = performance.now() + servingWithinMs;
      let isServing = await this.#isServing(machine);
      while (!isServing && performance.now() < endAt) {
        await this.#world.pause(pollMs);
        isServing = await this.#isServing(machine);
      }
      this.#world.promises.check('servedAgain', isServing, () => ({
        machine: machine.at,
        log: machine.node.logFile,
      }));
      await this.#world.pause(random.below(maxPauseMs));
    }
  }
}
