/**
 * Scores that are kept; with windows of 5 s, 20 minutes. Bursts are rare, so 5
 * minutes held too few of them to show the noise of a service.
 */
const maxScores = 240;
/** Scores before their spread is known. */
const minScores = 12;
/** Standard deviations of an unusual score. */
const unusualDeviations = 5;
/**
 * Standard deviation of the square root of a Poisson count. Without this floor
 * a single failure was unusual in a service that never had one.
 */
const leastDeviation = 0.5;

/**
 * The latest scores of windows that count as usual, from which the noise of the
 * service is estimated.
 *
 * @internal
 */
export class ScoreHistory {
  readonly #scores: number[] = [];

  /** True when there are enough scores to call another one unusual. */
  get isKnown(): boolean {
    return this.#scores.length >= minScores;
  }

  add(score: number): void {
    this.#scores.push(score);
    if (this.#scores.length > maxScores) this.#scores.shift();
  }

  /** True when a score is the highest and far off; false without enough. */
  isUnusual(score: number): boolean {
    const n = this.#scores.length;
    if (!this.isKnown) return false;
    const mean = this.#scores.reduce((sum, s) => sum + s, 0) / n;
    const squares = this.#scores.reduce((sum, s) => sum + (s - mean) ** 2, 0);
    const deviation = Math.max(leastDeviation, Math.sqrt(squares / (n - 1)));
    const excess = score - mean;
    return (
      score > Math.max(...this.#scores) &&
      excess >= unusualDeviations * deviation
    );
  }
}
