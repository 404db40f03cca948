/** Time after which a node knows the watchers that started with it, in ms. */
const settleMs = 1_000;

/**
 * Decides whether a node that watches the store checks its connection often. Each
 * check is a call of the store, so that of all watchers only the first one checks;
 * the others hear of changes from it if their own watch is silent.
 *
 * @internal
 */
export class ConnectionCheckPolicy {
  #firstSince: number | null = null;

  /**
   * Returns whether the node checks its connection from now on.
   *
   * @param isFirst - Whether the node knows no watcher that precedes it.
   * @param now - Monotonic time in ms.
   */
  next(isFirst: boolean, now: number): boolean {
    if (!isFirst) this.#firstSince = null;
    else this.#firstSince ??= now;
    return this.#firstSince !== null && now - this.#firstSince >= settleMs;
  }
}
