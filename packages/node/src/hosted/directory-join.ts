import type {Clock, RandomSource} from '@verbenabeam/core';
import type {MembershipService} from '../membership/membership-service.js';
import {runPeriodically} from '../run-periodically.js';
import {DIRECTORY_READS, DirectoryReads} from './directory-reads.js';
import type {NodeDirectory} from './node-directory.js';

const tickMs = 50;
/** Reads after which listed nodes that do not answer count as gone. */
const maxReadsAlone = 3;

/** Dependencies of a {@link DirectoryJoin}. @internal */
export interface DirectoryJoinOptions {
  readonly directory: NodeDirectory;
  readonly membership: MembershipService;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly signal: AbortSignal;
}

/**
 * Joins the nodes of the directory that this node does not know.
 *
 * @internal
 */
export class DirectoryJoin {
  readonly #options: DirectoryJoinOptions;
  readonly #reads: DirectoryReads;
  #isReading = false;
  #foundNone = false;
  /** Fresh reads since this node last had a peer. */
  #readsAlone = 0;

  constructor(options: DirectoryJoinOptions) {
    this.#options = options;
    this.#reads = new DirectoryReads(options.random);
  }

  /** Whether this node knows no peer, and the directory lists none that answers. */
  get isFirst(): boolean {
    if (!this.#isAlone) return false;
    return this.#foundNone || this.#readsAlone > maxReadsAlone;
  }

  /** Whether this node has peers or is the first one. */
  get isPlaced(): boolean {
    return !this.#isAlone || this.isFirst;
  }

  /** Whether the directory must list this node. */
  get isListed(): boolean {
    return this.#options.membership.own.relay || this.isFirst;
  }

  start(): void {
    const {clock, signal} = this.#options;
    runPeriodically(tickMs, signal, () => {
      if (this.#isReading) return;
      const view = {isAlone: this.#isAlone, isListed: this.isListed};
      const read = this.#reads.next(view, clock.now());
      if (read !== DIRECTORY_READS.none) {
        void this.#join(read === DIRECTORY_READS.stale);
      }
    });
  }

  get #isAlone(): boolean {
    return this.#options.membership.live().length <= 1;
  }

  async #join(mayBeStale: boolean): Promise<void> {
    const {directory, membership} = this.#options;
    this.#isReading = true;
    const found = await directory.others(mayBeStale);
    this.#isReading = false;
    if (!found) return;
    if (!mayBeStale) this.#foundNone = found.length === 0;
    this.#readsAlone = this.#isAlone ? this.#readsAlone + 1 : 0;
    const known = new Set(membership.live().map(({address}) => address));
    const unknown = found.filter(address => !known.has(address));
    if (unknown.length > 0) membership.rejoin(unknown);
  }
}
