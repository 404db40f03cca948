import type {RandomSource} from '@verbenabeam/core';
import type {DayKind} from './day.js';

/** Mean of a time that scatters evenly. @internal */
export function scattered(
  meanMs: number,
  spread: number,
  random: RandomSource,
): number {
  return meanMs * (1 + spread * (2 * random.float() - 1));
}

/** Routes of the calls that one run of a kind makes, in turn. @internal */
export function subCallsOf({calls}: DayKind, random: RandomSource): string[] {
  return calls.flatMap(({route, times, chance}) =>
    Array.from({length: times}, () => route).filter(
      () => random.float() < chance,
    ),
  );
}
