import type {RandomSource} from '@verbenabeam/core';

/** Nodes per data centre that watch the store; the others pull from peers. */
const watchersPerDataCentre = 2;
/** Longest random part of the wait of a node that replaces a missing watcher, in ms. */
const joinJitterMs = 200;
/** Wait of each further group of nodes while none before it succeeds, in ms. */
const groupWaitMs = 300;
/**
 * Groups with that wait; later nodes wait longer, so that few nodes call a store
 * that is down.
 */
const promptGroups = 3;
/** Wait of each node after these groups, in ms. */
const lateNodeWaitMs = 500;
/** Longest time that a surplus watcher keeps its watch, in ms. */
const maxLeaveWaitMs = 4_000;

/** The other nodes of the data centre that watch the store. @internal */
export interface OtherWatchers {
  readonly count: number;
  /** Number of them whose node id sorts before that of this node. */
  readonly rank: number;
  /** Nodes that do not watch the store and sort before this node. */
  readonly candidatesBefore: number;
}

/**
 * Decides whether a node watches the store itself. The store sends a document of
 * some hundred kilobytes once to each watcher, over its own link and the link of
 * that node; peers forward it in a tenth of the bytes. Any number of watchers is
 * correct, so nodes need not agree. Missing watchers are replaced in the order of
 * the node ids, some nodes at a time: a node that cannot reach the store is passed
 * over, and in an outage of the store only a few nodes keep calling it.
 *
 * @internal
 */
export class WatcherPolicy {
  readonly #random: RandomSource;
  #watches = false;
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
    this.#changeAt ??= now + this.#waitMs(others);
    if (now < this.#changeAt) return this.#watches;
    this.#changeAt = null;
    this.#watches = !this.#watches;
    return this.#watches;
  }

  #waitMs({candidatesBefore}: OtherWatchers): number {
    if (this.#watches) return this.#random.float() * maxLeaveWaitMs;
    const group = Math.floor(candidatesBefore / watchersPerDataCentre);
    const late = candidatesBefore - promptGroups * watchersPerDataCentre;
    return (
      this.#random.float() * joinJitterMs +
      Math.min(group, promptGroups) * groupWaitMs +
      Math.max(0, late) * lateNodeWaitMs
    );
  }

  #shouldChange({count, rank}: OtherWatchers): boolean {
    return this.#watches
      ? rank >= watchersPerDataCentre
      : count < watchersPerDataCentre;
  }
}
