import type {Clock, RandomSource} from '@verbenabeam/core';
import {NODE_STATES} from '@verbenabeam/membership';
import type {Store} from '@verbenabeam/store';
import type {PeerBus} from '@verbenabeam/wire';
import {runPeriodically} from '../run-periodically.js';
import type {MembershipService} from '../membership/membership-service.js';
import {FollowerPolicy} from './follower-policy.js';
import type {OtherFollowers} from './follower-policy.js';
import {OperatorFeed} from './operator-feed.js';
import type {OperatorRecords} from './operator-records.js';
import {PeerRecords} from './peer-records.js';
import {RecordProgress} from './record-progress.js';

const roleTickMs = 250;

/** Parts of a {@link RecordSync}. @internal */
export interface RecordSyncOptions {
  readonly store: Store;
  readonly bus: PeerBus;
  readonly membership: MembershipService;
  readonly records: OperatorRecords;
  /** Prefix of the operators' keys. */
  readonly prefix: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly signal: AbortSignal;
}

/**
 * Keeps the operators' records of this node up to date: from the store if the node
 * is one of those that follow it, else from its peers.
 *
 * @internal
 */
export class RecordSync {
  readonly progress: RecordProgress;
  readonly #options: RecordSyncOptions;
  readonly #policy: FollowerPolicy;
  readonly #feed: OperatorFeed;
  readonly #peers: PeerRecords;

  constructor(options: RecordSyncOptions) {
    this.#options = options;
    const {records, membership, random, clock} = options;
    this.progress = new RecordProgress(clock);
    this.#policy = new FollowerPolicy(random);
    this.#feed = new OperatorFeed({
      ...options,
      progress: this.progress,
      onRecords: found => {
        const isNew = records.offer(found);
        if (isNew) this.#peers.announce();
        return isNew;
      },
      onFollowing: isFollowing => membership.setRelay(isFollowing),
    });
    this.#peers = new PeerRecords({
      ...options,
      progress: this.progress,
      isFollowing: () => membership.own.relay,
      onMissing: () => this.#feed.readNow(),
    });
  }

  start(): void {
    const {clock, signal} = this.#options;
    this.#peers.start();
    runPeriodically(roleTickMs, signal, () => {
      this.#feed.follows = this.#policy.next(this.#others(), clock.now());
    });
    void this.#feed.run();
  }

  /** Other followers in the own data centre. */
  #others(): OtherFollowers {
    const {membership} = this.#options;
    const {nodeId, dataCentre} = membership.own;
    const others = membership
      .live()
      .filter(row => row.relay && row.dataCentre === dataCentre)
      // A suspect is replaced at once: one follower too many does no harm.
      .filter(row => row.state === NODE_STATES.alive && row.nodeId !== nodeId);
    return {
      count: others.length,
      before: others.filter(row => row.nodeId < nodeId).length,
    };
  }
}
