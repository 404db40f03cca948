import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {hashToUint32} from './hash.js';

const maxSeed = 2 ** 31;

/** Seeded source of random numbers, passed to decision logic. @public */
export interface RandomSource {
  /** Uniform in [0, 1). */
  float(): number;
  /** Uniform integer in [0, limit). */
  below(limit: number): number;
  /** A uniformly chosen item; the list must not be empty. */
  pick<T>(items: readonly T[]): T;
  /** A shuffled copy. */
  shuffle<T>(items: readonly T[]): T[];
}

/** Creates a source with a seed of the process's own. @public */
export function processRandom(): RandomSource {
  return seededRandom(Math.floor(Math.random() * maxSeed));
}

/** Creates a source whose whole sequence follows from the seed. @public */
export function seededRandom(seed: number): RandomSource {
  // The first outputs of the generator are close to 1 for small seeds.
  const generator = xoroshiro128plus(hashToUint32(String(seed)));
  const below = (limit: number) => uniformInt(generator, 0, limit - 1);
  return {
    float: () => uniformFloat64(generator),
    below,
    pick: <T>(items: readonly T[]) => items[below(items.length)] as T,
    shuffle: <T>(items: readonly T[]) => shuffled(items, below),
  };
}

/** Fisher-Yates. */
function shuffled<T>(items: readonly T[], below: (n: number) => number): T[] {
  const copy = [...items];
  for (let i = copy.length - 1; i > 0; i--) {
    const j = below(i + 1);
    const held = copy[i] as T;
    copy[i] = copy[j] as T;
    copy[j] = held;
  }
  return copy;
}
