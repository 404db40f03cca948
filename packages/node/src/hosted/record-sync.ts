import type {Clock, RandomSource} from '@verbenabeam/core';
import {NODE_STATES} from '@verbenabeam/membership';
import type {InstanceRecord} from '@verbenabeam/membership';
import {eraOf} from '@verbenabeam/store';
import type {Store} from '@verbenabeam/store';
import type {PeerBus} from '@verbenabeam/wire';
import {runPeriodically} from '../run-periodically.js';
import type {MembershipService} from '../membership/membership-service.js';
import {ConnectionCheckPolicy} from './connection-check-policy.js';
import {WatcherPolicy} from './watcher-policy.js';
import type {OtherWatchers} from './watcher-policy.js';
import {OperatorFeed} from './operator-feed.js';
import type {
  OfferOptions,
  OperatorRecord,
  OperatorRecords,
} from './operator-records.js';
import {PeerRecordExchange} from './peer-record-exchange.js';
import {RecordProgress} from './record-progress.js';

const policyTickMs = 250;
/**
 * Longest time after its start in which a node waits for the table of a peer, which
 * shows the nodes that watch the store, in ms.
 */
const settleMs = 1_500;

/** Dependencies of a {@link RecordSync}. @internal */
export interface RecordSyncOptions {
  readonly store: Store;
  readonly bus: PeerBus;
  readonly membership: MembershipService;
  readonly records: OperatorRecords;
  /** Whether this node has peers or knows that there are none. */
  readonly isPlaced: () => boolean;
  /** Whether this node is the first one, as far as it knows. */
  readonly isFirst: () => boolean;
  /** Prefix of the operators' keys. */
  readonly prefix: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly signal: AbortSignal;
}

/**
 * Keeps the operators' records of this node up to date: from the store if the node
 * is a watcher, else from its peers.
 *
 * @internal
 */
export class RecordSync {
  readonly progress: RecordProgress;
  readonly #options: RecordSyncOptions;
  readonly #policy: WatcherPolicy;
  readonly #checks = new ConnectionCheckPolicy();
  readonly #feed: OperatorFeed;
  readonly #exchange: PeerRecordExchange;
  /** Offers of records of the store that wait for those of a peer. */
  readonly #waiting: (() => void)[] = [];
  /** Time after which the node waits for no peer. */
  #settledAt = Infinity;

  constructor(options: RecordSyncOptions) {
    this.#options = options;
    const {membership, random, clock} = options;
    this.progress = new RecordProgress(clock);
    this.#policy = new WatcherPolicy(random);
    this.#feed = new OperatorFeed({
      ...options,
      progress: this.progress,
      onRecords: (found, how) => {
        if (!this.#mustWait(found)) return this.#offer(found, how);
        this.#waiting.push(() => this.#offer(found, how));
        return false;
      },
      onWatching: isWatching => membership.setRelay(isWatching),
    });
    this.#exchange = new PeerRecordExchange({
      ...options,
      progress: this.progress,
      isWatching: () => membership.own.relay,
      onUnavailable: () => this.#feed.readNow(),
      onComplete: () => this.#endWait(),
    });
  }

  start(): void {
    const {clock, signal, isPlaced, isFirst, membership} = this.#options;
    const settledAt = clock.now() + settleMs;
    this.#settledAt = settledAt;
    this.#exchange.start();
    this.#feed.shouldWatch = false;
    runPeriodically(policyTickMs, signal, () => {
      if (isFirst() || clock.now() >= settledAt) this.#endWait();
      if (!isPlaced()) return;
      const isSettled = isFirst() || membership.gossip.joined;
      if (!isSettled && clock.now() < settledAt) return;
      const now = clock.now();
      const others = this.#otherNodes();
      const watchers = this.#otherWatchers(others);
      this.#feed.shouldWatch = this.#policy.next(watchers, now);
      const isFirstWatcher = this.#isFirstWatcher(others);
      this.#feed.checksConnection = this.#checks.next(isFirstWatcher, now);
    });
    void this.#feed.run();
  }

  #offer(found: readonly OperatorRecord[], how?: OfferOptions): boolean {
    const isNew = this.#options.records.offer(found, how);
    if (isNew) this.#exchange.announce();
    return isNew;
  }

  /**
   * Whether records of the store must wait for those of a peer: a store that has come
   * back from a copy shows a starting node what is no longer in force.
   */
  #mustWait(found: readonly OperatorRecord[]): boolean {
    const {clock, isFirst} = this.#options;
    if (this.#exchange.isComplete || isFirst()) return false;
    if (clock.now() >= this.#settledAt) return false;
    return found.some(({revision}) => eraOf(revision) > 0);
  }

  #endWait(): void {
    for (const offer of this.#waiting.splice(0)) offer();
  }

  /** Whether no other live node that watches the store precedes this one. */
  #isFirstWatcher(others: readonly InstanceRecord[]): boolean {
    const {nodeId, relay} = this.#options.membership.own;
    return relay && !others.some(row => row.relay && row.nodeId < nodeId);
  }

  /** Other watchers in the same data centre. */
  #otherWatchers(others: readonly InstanceRecord[]): OtherWatchers {
    const {nodeId, dataCentre} = this.#options.membership.own;
    const near = others.filter(row => row.dataCentre === dataCentre);
    const before = near.filter(row => row.nodeId < nodeId);
    const rank = before.filter(row => row.relay).length;
    return {
      count: near.filter(row => row.relay).length,
      rank,
      candidatesBefore: before.length - rank,
    };
  }

  /** Other live nodes. A suspect is replaced at once: a surplus watcher is harmless. */
  #otherNodes(): InstanceRecord[] {
    const {membership} = this.#options;
    const {nodeId} = membership.own;
    return membership
      .live()
      .filter(row => row.state === NODE_STATES.alive && row.nodeId !== nodeId);
  }
}
