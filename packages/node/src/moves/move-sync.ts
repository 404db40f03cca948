import type {RandomSource} from '@verbenabeam/core';
import {decodeRecord, movesPrefix} from '@verbenabeam/moves';
import type {Store} from '@verbenabeam/store';
import type {PeerBus} from '@verbenabeam/wire';
import type {MembershipService} from '../membership/membership-service.js';
import {MOVE_KINDS, moveSyncSchema} from './move-messages.js';
import type {MoveKnowledge} from './move-messages.js';

const peerTimeoutMs = 1_000;
/**
 * Rounds after which a new node also accepts the response of an unsynchronised
 * peer. Otherwise no node would serve if all nodes started at the same time while
 * the store is down.
 */
const maxRounds = 5;

/** Options of {@link MoveSync}. @internal */
export interface MoveSyncOptions {
  readonly membership: MembershipService;
  readonly bus: PeerBus;
  readonly store: Store;
  readonly random: RandomSource;
  readonly merge: (knowledge: MoveKnowledge) => void;
}

/**
 * Fetches move records and stops: after the start from the store or from a
 * synchronised peer, later from a random peer to recover lost updates.
 *
 * @internal
 */
export class MoveSync {
  readonly #options: MoveSyncOptions;
  #done = false;
  #rounds = 0;

  constructor(options: MoveSyncOptions) {
    this.#options = options;
  }

  /** False while a new node may lack the records of running moves. */
  get done(): boolean {
    return this.#done;
  }

  markDone(): void {
    this.#done = true;
  }

  /** Called every few seconds while moves are planned. */
  async round(): Promise<void> {
    await Promise.all([this.#askPeer(), this.#done ? null : this.#askStore()]);
    this.#rounds++;
  }

  async #askStore(): Promise<void> {
    const {store, membership, merge} = this.#options;
    const listed = await store.list(movesPrefix(membership.own.environment));
    if (listed.isErr) return;
    const records = listed.value.flatMap(row => decodeRecord(row.value) ?? []);
    merge({records, stops: []});
    this.#done = true;
  }

  async #askPeer(): Promise<void> {
    const {membership, bus, random, merge} = this.#options;
    const {nodeId, environment} = membership.own;
    const peers = membership
      .live()
      .filter(r => r.nodeId !== nodeId && r.environment === environment);
    if (peers.length === 0) return;
    const {address} = random.pick(peers);
    const timeoutMs = peerTimeoutMs;
    const res = await bus.request(address, MOVE_KINDS.sync, null, {timeoutMs});
    const parsed = moveSyncSchema.safeParse(res.unwrapOr(null));
    if (!parsed.success) return;
    merge(parsed.data);
    this.#done ||= parsed.data.synced || this.#rounds >= maxRounds;
  }
}
