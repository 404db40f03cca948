import {blockLogRatio, referenceLogRatio} from './likelihood.js';
import type {BinaryBlock} from './likelihood.js';

/**
 * Odds ratios of the alternative hypotheses, as multiples of the tolerated one.
 */
const alternatives = [1.5, 2.5, 5, 12, 40, 200];

/** Limits the cost of an update when the share changes often. */
const maxStarts = 32;

/**
 * Sequential test of the hypothesis that the odds of an event are at most
 * `tolerated` times as high in the new version as in the old one. It multiplies
 * the likelihood ratios of blocks and averages them over a grid of
 * alternatives. Under the hypothesis the mixture is a supermartingale with mean
 * at most 1. By Ville's inequality, the probability that it ever reaches 1/a is
 * at most a, no matter when and how often it is read.
 *
 * @public
 */
export class MixtureTest {
  readonly #tolerated: number;
  /** Log likelihood ratio of each alternative, for each start. */
  readonly #starts = [alternatives.map(() => 0)];
  /** Cached result of {@link logEvidence}; null after a change. */
  #evidence: number | null = null;

  constructor(tolerated: number) {
    this.#tolerated = tolerated;
  }

  /**
   * Starts another product in addition to the earlier ones, which ignores all
   * evidence so far. Without it, clean evidence from low shares outweighs a
   * fault that begins at a higher share. Product k has the weight 1/(k(k+1)).
   * The weights sum to 1, so the weighted sum of the products is a
   * supermartingale too.
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

  /** Adds calls to the new version, compared with a past event rate. */
  addAgainstReference(calls: number, events: number, rate: number): void {
    this.#update(ratio =>
      referenceLogRatio({calls, events, rate}, ratio, this.#tolerated),
    );
  }

  /** Natural logarithm of the mixture; 0 means no evidence for or against. */
  logEvidence(): number {
    this.#evidence ??= this.#mix();
    return this.#evidence;
  }

  #mix(): number {
    const logs = this.#starts.flatMap((products, i) => {
      const logWeight = -Math.log((i + 1) * (i + 2) * alternatives.length);
      return products.map(log => log + logWeight);
    });
    // Products that have not started are 1 and have the remaining weight.
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
