/**
 * Number of scores that are kept: 20 minutes of windows of 5 s. Bursts are
 * rare, so 5 minutes hold too few of them to show the noise of a service.
 */
const maxScores = 240;
/** Number of scores that are needed to estimate the spread. */
const minScores = 12;
/** Minimum excess of an unusual score, in standard deviations. */
const unusualDeviations = 5;
/**
 * Standard deviation of the square root of a Poisson count. Without this
 * minimum, a single failure is unusual in a service that never had one.
 */
const minDeviation = 0.5;

/**
 * The latest scores of usual windows. Their spread is the noise of the service.
 *
 * @internal
 */
export class ScoreHistory {
  readonly #scores: number[] = [];

  /** True when there are enough scores to detect an unusual one. */
  get isKnown(): boolean {
    return this.#scores.length >= minScores;
  }

  add(score: number): void {
    this.#scores.push(score);
    if (this.#scores.length > maxScores) this.#scores.shift();
  }

  /**
   * True when a score is the highest and far above the mean; false without
   * enough scores.
   */
  isUnusual(score: number): boolean {
    const n = this.#scores.length;
    if (!this.isKnown) return false;
    const mean = this.#scores.reduce((sum, s) => sum + s, 0) / n;
    const squares = this.#scores.reduce((sum, s) => sum + (s - mean) ** 2, 0);
    const deviation = Math.max(minDeviation, Math.sqrt(squares / (n - 1)));
    const excess = score - mean;
    return (
      score > Math.max(...this.#scores) &&
      excess >= unusualDeviations * deviation
    );
  }
}
