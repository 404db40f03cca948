import type {RandomSource} from '@verbenabeam/core';

/** Nodes of a data centre that follow the store; the others ask their peers. */
const watchersPerDataCentre = 4;
/** Followers are found missing within about this time, in ms. */
const maxJoinWaitMs = 1_000;
/** A follower that is not needed goes on for at most this time, in ms. */
const maxLeaveWaitMs = 4_000;

/** The other nodes of the data centre that follow the store. @internal */
export interface OtherWatchers {
  readonly count: number;
  /** Those whose node id comes before the own one. */
  readonly rank: number;
}

/**
 * Decides whether a node follows the store itself. A document of some hundred
 * kilobytes takes the store's and each node's link once for each node that
 * follows; peers pass it on in a tenth of the bytes. Any number of followers is
 * correct, so the nodes need not agree. A node that starts follows the store.
 *
 * @internal
 */
export class WatcherPolicy {
  readonly #random: RandomSource;
  #watches = true;
  /** Time of the next change; null while there is no reason for one. */
  #changeAt: number | null = null;

  constructor(random: RandomSource) {
    this.#random = random;
  }

  /**
   * Whether the node follows the store from now on.
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
