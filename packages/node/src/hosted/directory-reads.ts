import type {RandomSource} from '@verbenabeam/core';

/** How a node reads the directory. @internal */
export const DIRECTORY_READS = {
  none: 'none',
  /** The entries may be some seconds old, which costs a tenth. */
  stale: 'stale',
  fresh: 'fresh',
} as const;

/** One of the values of {@link DIRECTORY_READS}. @internal */
export type DirectoryRead =
  (typeof DIRECTORY_READS)[keyof typeof DIRECTORY_READS];

/** What a node knows of the fleet. @internal */
export interface FleetView {
  /** Whether the node knows no other live node. */
  readonly isAlone: boolean;
  /** Whether the node has an entry in the directory. */
  readonly isListed: boolean;
}

/** Time over which nodes that start together spread their first fresh read, in ms. */
const startSpreadMs = 1_000;
/** Shortest and longest time between two reads of a node without peers, in ms. */
const aloneMinMs = 300;
const aloneMaxMs = 500;
/** Time after which a listed node looks for others that were listed with it, in ms. */
const listedCheckMs = 1_000;
/** Interval at which a listed node looks for a part of the fleet it does not know. */
const pollMs = 15_000;

/**
 * Decides when a node reads the directory. Load pattern: all nodes of a large fleet
 * start at once. Each looks for entries that are there already, which is cheap; then
 * they look again one after the other, so that the first ones are listed before the
 * others read. Later only listed nodes read it, to find separate parts of the fleet.
 *
 * @internal
 */
export class DirectoryReads {
  readonly #random: RandomSource;
  #isFirst = true;
  /** Time of the next read of a node without peers. */
  #aloneAt: number | null = null;
  /** Time of the next read of a listed node; null while it is not listed. */
  #listedAt: number | null = null;
  #hasCheckedListed = false;

  constructor(random: RandomSource) {
    this.#random = random;
  }

  /**
   * Returns the read that is due, if any.
   *
   * @param now - Monotonic time in ms.
   */
  next({isAlone, isListed}: FleetView, now: number): DirectoryRead {
    if (this.#isFirst) {
      this.#isFirst = false;
      this.#aloneAt = now + this.#random.float() * startSpreadMs;
      return DIRECTORY_READS.stale;
    }
    if (isAlone) return this.#nextAlone(now);
    // A node that loses its peers later reads at once.
    this.#aloneAt = null;
    return this.#nextListed(isListed, now);
  }

  #nextAlone(now: number): DirectoryRead {
    if (this.#aloneAt !== null && now < this.#aloneAt) {
      return DIRECTORY_READS.none;
    }
    const jitterMs = this.#random.float() * (aloneMaxMs - aloneMinMs);
    this.#aloneAt = now + aloneMinMs + jitterMs;
    return DIRECTORY_READS.fresh;
  }

  #nextListed(isListed: boolean, now: number): DirectoryRead {
    if (!isListed) {
      this.#listedAt = null;
      this.#hasCheckedListed = false;
      return DIRECTORY_READS.none;
    }
    this.#listedAt ??= now + listedCheckMs;
    if (now < this.#listedAt) return DIRECTORY_READS.none;
    this.#listedAt = now + pollMs;
    const isCheck = !this.#hasCheckedListed;
    this.#hasCheckedListed = true;
    return isCheck ? DIRECTORY_READS.fresh : DIRECTORY_READS.stale;
  }
}
