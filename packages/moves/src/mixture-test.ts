import {blockLogRatio, referenceLogRatio} from './likelihood.js';
import type {BinaryBlock} from './likelihood.js';

/** Odds ratios of the alternatives, as multiples of the tolerated one. */
const alternatives = [1.5, 2.5, 5, 12, 40, 200];

/** Bounds the time of an update when the share changes very often. */
const maxStarts = 32;

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
  /** Logarithms by alternative, for each start. */
  readonly #starts = [alternatives.map(() => 0)];
  /** Result of {@link logEvidence} until the next change. */
  #evidence: number | null = null;

  constructor(tolerated: number) {
    this.#tolerated = tolerated;
  }

  /**
   * Begins another product beside the earlier ones, which ignores what was seen
   * so far. Without it, clean evidence of low shares outweighed a fault that
   * began at a higher share. Product k has the weight 1/(k(k+1)); the weights
   * sum to 1, so the sum of the products is a supermartingale too.
   */
  restart(): void {
    if (this.#starts.length >= maxStarts) return;
    this.#starts.push(alternatives.map(() => 0));
    this.#evidence = null;
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
    this.#evidence ??= this.#mix();
    return this.#evidence;
  }

  #mix(): number {
    const logs = this.#starts.flatMap((products, i) => {
      const logWeight = -Math.log((i + 1) * (i + 2) * alternatives.length);
      return products.map(log => log + logWeight);
    });
    // The products that have not begun are 1, with the rest of the weight.
    logs.push(-Math.log(this.#starts.length + 1));
    const max = Math.max(...logs);
    return max + Math.log(logs.reduce((s, log) => s + Math.exp(log - max), 0));
  }

  #update(logRatio: (oddsRatio: number) => number): void {
    this.#evidence = null;
    alternatives.forEach((factor, i) => {
      const change = logRatio(factor * this.#tolerated);
      for (const products of this.#starts) {
        products[i] = (products[i] ?? 0) + change;
      }
    });
  }
}
