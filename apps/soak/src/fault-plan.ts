import type {RandomSource} from '@verbenabeam/core';
import {FAULT_HANDLERS, storeDrill} from './fault-handlers.js';
import type {FaultStep, FaultWorld} from './fault-handlers.js';

const minGapMs = 100;
const maxGapMs = 1_400;
const minMs = 200;
const maxMs = 6_000;
/** Kinds that come more often than others. */
const often: Readonly<Record<string, number>> = {
  configs: 6,
  freeze: 4,
  hup: 2,
  kill: 3,
  stop: 6,
  'stop some': 2,
  [storeDrill]: 3,
  'upstream leaves': 3,
  'upstream crash': 2,
  'upstream link repeats': 3,
};

/** Draws faults with a seed and lets them overlap. */
export class FaultPlan {
  readonly #random: RandomSource;
  readonly #world: FaultWorld;
  readonly #running = new Set<Promise<void>>();
  readonly #kinds: readonly string[];

  /** @param withDrills - Whether the store comes back from copies. */
  constructor(world: FaultWorld, random: RandomSource, withDrills: boolean) {
    const kinds = Object.keys(FAULT_HANDLERS).filter(
      kind => withDrills || kind !== storeDrill,
    );
    this.#kinds = kinds.flatMap(kind =>
      Array.from({length: often[kind] ?? 1}, () => kind),
    );
    this.#world = world;
    this.#random = random;
  }

  /** Injects faults for a time, and resolves when all have ended. */
  async run(ms: number): Promise<void> {
    const endAt = performance.now() + ms;
    while (performance.now() < endAt) {
      const step = this.#next();
      const gapMs = minGapMs + this.#random.below(maxGapMs - minGapMs);
      const handler = FAULT_HANDLERS[step.kind];
      if (!handler) throw new Error(`no handler of ${step.kind}`);
      const run = handler(this.#world, step).finally(() => {
        this.#running.delete(run);
      });
      this.#running.add(run);
      await this.#world.pause(gapMs);
    }
  }

  /** Resolves when all faults have ended. */
  async settle(): Promise<void> {
    await Promise.all(this.#running);
  }

  #next(): FaultStep {
    const random = this.#random;
    const {machines} = this.#world;
    return {
      kind: random.pick(this.#kinds),
      machine: random.pick(machines),
      other: random.pick(machines),
      ms: minMs + random.below(maxMs - minMs),
      x: random.float(),
    };
  }
}
