import {hashToUnit} from '@verbenabeam/core';
import type {RandomSource} from '@verbenabeam/core';
import {exponential} from './random-draws.js';

const meanGapMs = 5_000;
/** Below the first share, so that the call goes to the new version always. */
const newVersionHashBelow = 0.01;

/**
 * One caller that sends a request which crashes each upstream that runs it. In
 * half of the trials it repeats a call id that always goes to the new version:
 * then only the new version crashes, which is the worst case.
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

  /** Returns the id of the call that is due. */
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
