import type {Clock} from '@verbenabeam/core';
import type {Entry, Store, WatchEvent} from '@verbenabeam/store';
import {RELAY_LEASE_MS, RELAY_SLOTS} from './relay-policy.js';
import type {RelayPolicy} from './relay-policy.js';
import {STORE_KEYS} from './store-keys.js';

/** Parts of a {@link RelayDriver}. @public */
export interface RelayDriverOptions {
  readonly policy: RelayPolicy;
  readonly store: Store;
  readonly clock: Clock;
  readonly environment: string;
  readonly dataCentre: string;
  /** Wire address; the value of the slot's key is also a seed. */
  readonly address: string;
  /** Live relays of the data centre in the node's table. */
  readonly countRelays: () => number;
  readonly onHead: (entry: Entry | null) => void;
  /** Changes of move records. */
  readonly onMove?: (event: WatchEvent) => void;
}

const pollMs = 5_000;
const encoder = new TextEncoder();

/** Holds a relay slot and watches the store while it does. @public */
export class RelayDriver {
  readonly #options: RelayDriverOptions;
  #watch: AbortController | null = null;
  #running: Promise<void> | null = null;
  #isStopped = false;
  #pollAt = 0;

  constructor(options: RelayDriverOptions) {
    this.#options = options;
  }

  get isRelay(): boolean {
    return this.#options.policy.isRelay(this.#options.clock.now());
  }

  /** Call about every 500 ms. Store calls of one tick never overlap. */
  async tick(): Promise<void> {
    if (this.#running || this.#isStopped) return;
    this.#running = this.#step();
    try {
      await this.#running;
    } finally {
      this.#running = null;
    }
  }

  /**
   * Ends the role for good and returns the slot, so that another node need not
   * wait for the end of the lease. A take in progress is awaited first.
   */
  async stop(): Promise<void> {
    this.#isStopped = true;
    this.#stopWatch();
    await this.#running;
    this.#stopWatch();
    const held = this.#options.policy.release();
    if (held) await this.#options.store.revoke(held.lease);
  }

  async #step(): Promise<void> {
    const {policy, clock, countRelays} = this.#options;
    const step = policy.next(countRelays(), clock.now());
    if (step.type === 'take') await this.#take(step.firstSlot);
    if (step.type === 'renew') await this.#renew(step.lease);
    if (!this.isRelay) this.#stopWatch();
    else await this.#watchOrPoll();
  }

  async #take(firstSlot: number): Promise<void> {
    const {policy, store, clock} = this.#options;
    const askedAt = clock.now();
    const lease = await store.grantLease(RELAY_LEASE_MS);
    if (lease.isErr) return;
    for (let i = 0; i < RELAY_SLOTS; i++) {
      const slot = (firstSlot + i) % RELAY_SLOTS;
      if (!(await this.#putSlot(slot, lease.value))) continue;
      policy.taken({slot, lease: lease.value}, askedAt);
      return;
    }
    await store.revoke(lease.value);
  }

  /** An unknown outcome counts as not taken; the lease then ends by itself. */
  async #putSlot(slot: number, lease: string): Promise<boolean> {
    const {store, dataCentre, environment, address} = this.#options;
    const key = STORE_KEYS.relay(dataCentre, environment, slot);
    const value = encoder.encode(address);
    const outcome = await store.txn({
      compares: [{key, revision: 0}],
      puts: [{key, value, lease}],
    });
    return outcome.isOk && outcome.value.committed;
  }

  async #renew(lease: string): Promise<void> {
    const {policy, store, clock} = this.#options;
    const askedAt = clock.now();
    const renewed = await store.keepAlive(lease);
    if (renewed.isErr) return;
    if (renewed.value) policy.renewed(askedAt);
    else policy.lost();
  }

  /** A watch begins after a read, so no change between them is missed. */
  async #watchOrPoll(): Promise<void> {
    const {store, clock, environment, onHead} = this.#options;
    if (this.#watch || clock.now() < this.#pollAt) return;
    this.#pollAt = clock.now() + pollMs;
    const key = STORE_KEYS.head(environment);
    const got = await store.get(key);
    if (got.isErr) return;
    onHead(got.value);
    const watch = new AbortController();
    this.#watch = watch;
    void this.#watchHead(key, (got.value?.revision ?? 0) + 1, watch);
    void this.#watchMoves(watch);
  }

  async #watchHead(
    key: string,
    fromRevision: number,
    watch: AbortController,
  ): Promise<void> {
    const {store, onHead} = this.#options;
    const onEvent = (event: WatchEvent) =>
      onHead(event.type === 'put' ? event.entry : null);
    await store.watch({key, fromRevision, onEvent, signal: watch.signal});
    this.#endWatch(watch);
  }

  async #watchMoves(watch: AbortController): Promise<void> {
    const {store, environment, onMove} = this.#options;
    if (!onMove) return;
    const key = STORE_KEYS.moves(environment);
    const listed = await store.list(key);
    if (listed.isErr) return this.#endWatch(watch);
    for (const entry of listed.value) onMove({type: 'put', entry});
    const latest = Math.max(0, ...listed.value.map(row => row.revision));
    await store.watch({
      key,
      prefix: true,
      fromRevision: latest + 1,
      onEvent: onMove,
      signal: watch.signal,
    });
    this.#endWatch(watch);
  }

  #stopWatch(): void {
    this.#watch?.abort();
    this.#watch = null;
  }

  /** A lost watch ends both; the next poll starts them again. */
  #endWatch(watch: AbortController): void {
    watch.abort();
    if (this.#watch === watch) this.#watch = null;
  }
}
