import type {RandomSource} from '@verbenabeam/core';

/** Exponential with mean 1. @internal */
export function exponential(rng: RandomSource): number {
  return -Math.log(1 - rng.float());
}

/** Standard normal (Box-Muller). @internal */
export function normal(rng: RandomSource): number {
  const radius = Math.sqrt(2 * exponential(rng));
  return radius * Math.cos(2 * Math.PI * rng.float());
}

/** Index drawn by weight; the weights sum to 1. @internal */
export function weightedIndex(
  rng: RandomSource,
  weights: readonly number[],
): number {
  let rest = rng.float();
  for (let i = 0; i < weights.length - 1; i++) {
    rest -= weights[i] ?? 0;
    if (rest < 0) return i;
  }
  return weights.length - 1;
}
