/** A smaller improvement is noise between two windows. */
const improvementShare = 0.05;
/** Windows without an improvement after which a path is steady. */
const windowsWithout = 2;

/** Decides from window to window whether a time still falls. @internal */
export class SteadyState {
  #best = Infinity;
  #without = 0;

  /** Whether the last windows brought no improvement. */
  get reached(): boolean {
    return this.#without >= windowsWithout;
  }

  /** Takes the time of the next window, in any unit. */
  add(time: number): void {
    const improved = time < this.#best * (1 - improvementShare);
    this.#without = improved ? 0 : this.#without + 1;
    this.#best = Math.min(this.#best, time);
  }
}
