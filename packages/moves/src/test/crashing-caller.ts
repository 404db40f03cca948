import {hashToUnit} from '@verbenabeam/core';
import type {RandomSource} from '@verbenabeam/core';
import {exponential} from './random-draws.js';

const meanGapMs = 5_000;
/**
 * At most the first share, so a call id below it always goes to the new
 * version.
 */
const newVersionHashBelow = 0.01;

/**
 * A caller whose request crashes each upstream that runs it. In half of the
 * trials it repeats one call id that always goes to the new version. Then only
 * the new version crashes, which is the worst case.
 *
 * @internal
 */
export class CrashingCaller {
  nextAt: number;
  readonly #rng: RandomSource;
  readonly #stickyId: string | null;
  #number = 0;

  constructor(rng: RandomSource) {
    this.#rng = rng;
    this.#stickyId = rng.below(2) === 0 ? findNewVersionCallId() : null;
    this.nextAt = meanGapMs * exponential(rng);
  }

  /** Returns the id of the due call and schedules the next one. */
  send(now: number): string {
    this.nextAt = now + meanGapMs * exponential(this.#rng);
    return this.#stickyId ?? `crashing.${String(this.#number++)}`;
  }
}

function findNewVersionCallId(): string {
  let number = 0;
  while (hashToUnit(`crashing.${String(number)}`) >= newVersionHashBelow)
    number += 1;
  return `crashing.${String(number)}`;
}
