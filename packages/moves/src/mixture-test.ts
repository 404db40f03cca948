import {blockLogRatio, referenceLogRatio} from './likelihood.js';
import type {BinaryBlock} from './likelihood.js';

/** Odds ratios of the alternatives, as multiples of the tolerated one. */
const alternatives = [1.5, 2.5, 5, 12, 40, 200];

/**
 * Sequential test of "the odds of an event are at most `tolerated` times as
 * high in the new version as in the old one". It multiplies likelihood ratios
 * of blocks and mixes them over a grid of alternatives. The mixture is a
 * supermartingale with mean at most 1 under the hypothesis, so by Ville's
 * inequality it ever reaches 1/a with probability at most a, whenever and
 * however often it is read.
 *
 * @public
 */
export class MixtureTest {
  readonly #tolerated: number;
  readonly #logs = alternatives.map(() => 0);

  constructor(tolerated: number) {
    this.#tolerated = tolerated;
  }

  /** Adds a block in which both versions had calls. */
  add(block: BinaryBlock): void {
    this.#update(ratio => blockLogRatio(block, ratio, this.#tolerated));
  }

  /** Adds new calls that have only the old version's past rate beside them. */
  addAgainstReference(calls: number, events: number, rate: number): void {
    this.#update(ratio =>
      referenceLogRatio({calls, events, rate}, ratio, this.#tolerated),
    );
  }

  /** Natural logarithm of the mixture; 0 means no evidence either way. */
  logEvidence(): number {
    const max = Math.max(...this.#logs);
    const sum = this.#logs.reduce((s, log) => s + Math.exp(log - max), 0);
    return max + Math.log(sum / this.#logs.length);
  }

  #update(logRatio: (oddsRatio: number) => number): void {
    alternatives.forEach((factor, i) => {
      this.#logs[i] = (this.#logs[i] ?? 0) + logRatio(factor * this.#tolerated);
    });
  }
}
