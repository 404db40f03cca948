import {logger} from '@verbenabeam/core';
import type {RandomSource} from '@verbenabeam/core';
import {isPeerAddress} from '@verbenabeam/wire';
import {systemSleep} from '@verbenabeam/store';
import type {Entry, Store} from '@verbenabeam/store';

const prefix = 'verbenabeam/nodes/';
/** Long enough for an entry to survive a restart of its node, and no longer. */
const defaultLeaseMs = 12_000;
/** Renewal interval; three renewals in a row may fail. */
const renewMs = 3_500;
/** Longest retry delay; entries must be restored within about 2 s. */
const maxRetryDelayMs = 900;
/** Interval at which a node that is not listed checks whether it must be. */
const unlistedCheckMs = 100;
const timeoutMs = 1_000;
/** Longest `ip:port`, which has an IPv6 address in brackets. */
const maxAddressBytes = 64;
const log = logger('directory');

/** Dependencies of a {@link NodeDirectory}. @internal */
export interface NodeDirectoryOptions {
  readonly store: Store;
  readonly nodeId: string;
  /** Wire address of this node. */
  readonly address: string;
  /** Shortest lease that the store grants, in ms. */
  readonly minLeaseMs: number;
  /** Whether this node must have an entry now. */
  readonly isListed: () => boolean;
  readonly random: RandomSource;
  readonly signal: AbortSignal;
}

/**
 * Wire addresses of some nodes, kept in the store. A node that knows no peer joins
 * through them. An entry expires with its lease; only gossip decides whether a
 * node is alive. An entry that is no longer needed is not renewed.
 *
 * @internal
 */
export class NodeDirectory {
  readonly #options: NodeDirectoryOptions;
  #lease: string | null = null;
  /** Ends the wait for the next renewal. */
  #wait = new AbortController();

  constructor(options: NodeDirectoryOptions) {
    this.#options = options;
  }

  /** Maintains the entry of this node until the signal aborts. */
  async run(): Promise<void> {
    const {signal, random, isListed, store} = this.#options;
    // The store may have lost the lease, and may give out its id again.
    store.eras?.onChange(() => this.#wait.abort());
    while (!signal.aborted) {
      if (!isListed()) {
        await systemSleep(unlistedCheckMs, signal);
        continue;
      }
      const isRegistered =
        this.#lease === null ? await this.#register() : await this.#renew();
      const waitMs = isRegistered ? renewMs : random.float() * maxRetryDelayMs;
      await this.#sleep(waitMs);
    }
  }

  /**
   * Addresses of the other listed nodes; null if the store did not answer.
   *
   * @param mayBeStale - Whether the entries may be some seconds old.
   */
  async others(mayBeStale: boolean): Promise<readonly string[] | null> {
    const {store, address} = this.#options;
    const listed = await store.list(prefix, {timeoutMs, mayBeStale});
    if (listed.isErr) return null;
    const others = new Set<string>();
    for (const entry of listed.value) {
      const other = parseAddress(entry);
      if (other === null)
        log('Directory entry holds no node address.', {key: entry.key});
      else if (other !== address) others.add(other);
    }
    return [...others];
  }

  /** Removes the entry of this node. */
  async leave(): Promise<void> {
    if (this.#lease === null) return;
    const ended = await this.#options.store.revoke(this.#lease, {timeoutMs});
    if (ended.isErr)
      log('Directory entry not removed; it expires with its lease.', {
        lease: this.#lease,
      });
  }

  /** Sleeps; a new era of the store ends the sleep after a part of it at random. */
  async #sleep(waitMs: number): Promise<void> {
    const {signal, random} = this.#options;
    this.#wait = new AbortController();
    await systemSleep(waitMs, AbortSignal.any([signal, this.#wait.signal]));
    if (!this.#wait.signal.aborted) return;
    await systemSleep(random.float() * maxRetryDelayMs, signal);
  }

  async #register(): Promise<boolean> {
    const {store, nodeId, address} = this.#options;
    const leaseMs = Math.max(defaultLeaseMs, this.#options.minLeaseMs);
    const granted = await store.grantLease(leaseMs, {timeoutMs});
    if (granted.isErr) return false;
    const lease = granted.value;
    const put = {
      key: `${prefix}${nodeId}`,
      value: Buffer.from(address),
      lease,
    };
    // Only this node writes the key, so a repeated write is harmless.
    const written = await store.txn({compares: [], puts: [put]}, {timeoutMs});
    if (written.isErr) return false;
    this.#lease = lease;
    log('Node registered in the directory.', {nodeId, address, lease});
    return true;
  }

  async #renew(): Promise<boolean> {
    const {store} = this.#options;
    const alive = await store.keepAlive(this.#lease ?? '', {timeoutMs});
    if (alive.isErr) return false;
    if (alive.value) return true;
    log('Directory entry expired; registering again.', {lease: this.#lease});
    this.#lease = null;
    return this.#register();
  }
}

/** Address in an entry; null if another program wrote something else. */
function parseAddress({value}: Entry): string | null {
  if (value.length > maxAddressBytes) return null;
  const text = new TextDecoder().decode(value);
  return isPeerAddress(text) ? text : null;
}
