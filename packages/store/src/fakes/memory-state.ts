import type {Entry, Put, Txn, TxnOutcome, WatchEvent} from '../store.js';

/** Largest value that the platform's store accepts, in bytes. @public */
export const maxValueBytes = 1_000_000;

/** Events kept for watches that start in the past. */
const maxHistory = 100_000;

interface Lease {
  readonly ttlMs: number;
  readonly expiresAt: number;
}

/** Full copy of a state, for a later restore. @public */
export interface StateImage {
  readonly revision: number;
  readonly entries: ReadonlyMap<string, Entry>;
  readonly leases: ReadonlyMap<string, Lease>;
  readonly events: readonly WatchEvent[];
}

/** @public */
export interface Subscription {
  readonly key: string;
  readonly prefix: boolean;
  /** First revision to report; 0 means from now on. */
  readonly fromRevision: number;
  readonly onEvents: (events: readonly WatchEvent[]) => void;
  /** Called when the state was restored; no event follows. */
  readonly onLost: () => void;
}

/** Why a transaction was rejected without being applied. @public */
export interface Rejection {
  readonly rejected: 'tooLarge' | 'leaseNotFound';
}

/**
 * Key-value state with revisions, leases and watches, shared by the fake store
 * and the HTTP stand-in. All methods are synchronous and take the time as an
 * argument.
 *
 * @public
 */
export class MemoryState {
  #revision = 1;
  #entries = new Map<string, Entry>();
  #leases = new Map<string, Lease>();
  #events: WatchEvent[] = [];
  #nextLease = 1;
  readonly #subscriptions = new Set<Subscription>();
  readonly #maxValueBytes: number;

  /** @param valueBytes - Largest accepted value. Default 1,000,000. */
  constructor(valueBytes = maxValueBytes) {
    this.#maxValueBytes = valueBytes;
  }

  get revision(): number {
    return this.#revision;
  }

  /** Reads one key, or all keys with a prefix in ascending order. */
  range(key: string, prefix: boolean): Entry[] {
    if (!prefix) {
      const entry = this.#entries.get(key);
      return entry ? [entry] : [];
    }
    return [...this.#entries.values()]
      .filter(e => e.key.startsWith(key))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
  }

  /** Applies all writes in one revision if all conditions hold. */
  txn(txn: Txn): TxnOutcome | Rejection {
    const rejection = this.#reject(txn.puts ?? []);
    if (rejection) return rejection;
    const holds = txn.compares.every(
      c => (this.#entries.get(c.key)?.revision ?? 0) === c.revision,
    );
    if (!holds) {
      const current = txn.compares.flatMap(c => this.range(c.key, false));
      return {committed: false, current};
    }
    const changes = (txn.puts?.length ?? 0) + (txn.deletes?.length ?? 0);
    if (changes > 0) this.#apply(txn.puts ?? [], txn.deletes ?? []);
    return {committed: true, revision: this.#revision};
  }

  grant(ttlMs: number, now: number): string {
    const id = String(this.#nextLease++);
    this.#leases.set(id, {ttlMs, expiresAt: now + ttlMs});
    return id;
  }

  /** Renews a lease and returns its time to live, or null when it expired. */
  keepAlive(id: string, now: number): number | null {
    this.expire(now);
    const lease = this.#leases.get(id);
    if (!lease) return null;
    this.#leases.set(id, {...lease, expiresAt: now + lease.ttlMs});
    return lease.ttlMs;
  }

  /** Ends a lease and deletes its keys; false when it does not exist. */
  revoke(id: string): boolean {
    if (!this.#leases.delete(id)) return false;
    const keys = [...this.#entries.values()]
      .filter(e => e.lease === id)
      .map(e => e.key);
    if (keys.length > 0) this.#apply([], keys);
    return true;
  }

  /** Ends every lease whose time is over. */
  expire(now: number): void {
    for (const [id, lease] of this.#leases) {
      if (lease.expiresAt <= now) this.revoke(id);
    }
  }

  /** Reports past events from `fromRevision`, then new ones. */
  subscribe(subscription: Subscription): () => void {
    const {fromRevision} = subscription;
    const past = this.#events.filter(
      e => fromRevision > 0 && revisionOf(e) >= fromRevision,
    );
    this.#report(subscription, past);
    this.#subscriptions.add(subscription);
    return () => this.#subscriptions.delete(subscription);
  }

  image(): StateImage {
    return {
      revision: this.#revision,
      entries: new Map(this.#entries),
      leases: new Map(this.#leases),
      events: [...this.#events],
    };
  }

  /** Replaces the state by an older one and ends all watches. */
  restore(image: StateImage): void {
    this.#revision = image.revision;
    this.#entries = new Map(image.entries);
    this.#leases = new Map(image.leases);
    this.#events = [...image.events];
    this.dropWatches();
  }

  /** Ends all watches, as a lost connection does. */
  dropWatches(): void {
    const lost = [...this.#subscriptions];
    this.#subscriptions.clear();
    for (const subscription of lost) subscription.onLost();
  }

  #reject(puts: readonly Put[]): Rejection | null {
    if (puts.some(p => p.value.byteLength > this.#maxValueBytes)) {
      return {rejected: 'tooLarge'};
    }
    const known = (p: Put) => !p.lease || this.#leases.has(p.lease);
    return puts.every(known) ? null : {rejected: 'leaseNotFound'};
  }

  #apply(puts: readonly Put[], deletes: readonly string[]): void {
    const revision = this.#revision + 1;
    const events: WatchEvent[] = [];
    for (const key of deletes) {
      if (this.#entries.delete(key)) {
        events.push({type: 'delete', key, revision});
      }
    }
    for (const {key, value, lease} of puts) {
      const createRevision = this.#entries.get(key)?.createRevision ?? revision;
      const entry: Entry = {
        key,
        value: Uint8Array.from(value),
        revision,
        createRevision,
        lease: lease ?? null,
      };
      this.#entries.set(key, entry);
      events.push({type: 'put', entry});
    }
    if (events.length === 0) return;
    this.#revision = revision;
    this.#events.push(...events);
    if (this.#events.length > 2 * maxHistory) {
      this.#events = this.#events.slice(-maxHistory);
    }
    for (const s of [...this.#subscriptions]) this.#report(s, events);
  }

  #report(subscription: Subscription, events: readonly WatchEvent[]): void {
    const {key, prefix} = subscription;
    const matches = (k: string) => (prefix ? k.startsWith(key) : k === key);
    const seen = events.filter(e =>
      matches(e.type === 'put' ? e.entry.key : e.key),
    );
    if (seen.length > 0) subscription.onEvents(seen);
  }
}

function revisionOf(event: WatchEvent): number {
  return event.type === 'put' ? event.entry.revision : event.revision;
}
