import type {RandomSource} from '@verbenabeam/core';

/** Nodes per data centre that watch the store; the others pull from peers. */
const watchersPerDataCentre = 4;
/** Longest wait before a node replaces a missing watcher, in ms. */
const maxJoinWaitMs = 1_000;
/** Longest time that a surplus watcher keeps its watch, in ms. */
const maxLeaveWaitMs = 4_000;

/** The other nodes of the data centre that watch the store. @internal */
export interface OtherWatchers {
  readonly count: number;
  /** Number of them whose node id sorts before that of this node. */
  readonly rank: number;
}

/**
 * Decides whether a node watches the store itself. The store sends a document of
 * some hundred kilobytes once to each watcher, over its own link and the link of
 * that node; peers forward it in a tenth of the bytes. Any number of watchers is
 * correct, so nodes need not agree. A node watches the store after its start.
 *
 * @internal
 */
export class WatcherPolicy {
  readonly #random: RandomSource;
  #watches = true;
  /** Time of the next role change; null while none is due. */
  #changeAt: number | null = null;

  constructor(random: RandomSource) {
    this.#random = random;
  }

  /**
   * Returns whether the node watches the store from now on.
   *
   * @param now - Monotonic time in ms.
   */
  next(others: OtherWatchers, now: number): boolean {
    if (!this.#shouldChange(others)) {
      this.#changeAt = null;
      return this.#watches;
    }
    const maxWaitMs = this.#watches ? maxLeaveWaitMs : maxJoinWaitMs;
    this.#changeAt ??= now + this.#random.float() * maxWaitMs;
    if (now < this.#changeAt) return this.#watches;
    this.#changeAt = null;
    this.#watches = !this.#watches;
    return this.#watches;
  }

  #shouldChange({count, rank}: OtherWatchers): boolean {
    return this.#watches
      ? rank >= watchersPerDataCentre
      : count < watchersPerDataCentre;
  }
}
