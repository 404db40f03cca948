import type {MeshError, RandomSource} from '@verbenabeam/core';
import {rejected, unavailable, uncertain} from '@verbenabeam/store';
import type {
  Entry,
  Store,
  StoreCallOptions,
  Txn,
  TxnOutcome,
  WatchOptions,
} from '@verbenabeam/store';
import {MemoryState} from '@verbenabeam/store/fakes';
import type {StateImage} from '@verbenabeam/store/fakes';
import {Result} from 'true-myth';
import type {VirtualTime} from './virtual-time.js';

/** One way to the store and back, in ms. */
const latencyMs = 2;
/** Longest way of a call that is held up, in ms. */
const maxLateMs = 4_000;
const defaultTimeoutMs = 1_000;
/** Age of the oldest copy, in ms. */
const maxCopyAgeMs = 8_000;

interface Copy {
  readonly at: number;
  readonly image: StateImage;
}

/** A committed write of a node. */
export interface StatusWrite {
  readonly nodeId: string;
  readonly key: string;
  readonly value: Uint8Array;
}

/** What the store does to the calls of all nodes. */
export interface DrillStoreFaults {
  /** Share of calls that are held up on their way there or back. */
  lateShare: number;
  /** Share of calls whose answers are lost. */
  lostShare: number;
  /** Nodes that do not reach the store. */
  readonly unreached: Set<string>;
}

/** Store in virtual time that comes back from copies of its state. */
export class DrillStore {
  readonly state = new MemoryState();
  readonly faults: DrillStoreFaults = {
    lateShare: 0,
    lostShare: 0,
    unreached: new Set(),
  };
  /** Called with each committed write of a node. */
  onWrite: (write: StatusWrite) => void = () => undefined;
  /** Called with a fault of a node. */
  onFault: (text: string) => void = () => undefined;
  readonly time: VirtualTime;
  readonly random: RandomSource;
  #era = 1;
  /** Drills that keep the store away. */
  #away = 0;
  #copies: Copy[] = [];

  constructor(time: VirtualTime, random: RandomSource) {
    this.time = time;
    this.random = random;
  }

  get era(): number {
    return this.#era;
  }

  get isAway(): boolean {
    return this.#away > 0;
  }

  /** Keeps a copy of the state as it is now. */
  copy(): void {
    const {time, state} = this;
    this.#copies = this.#copies.filter(
      ({at}) => time.now() - at <= maxCopyAgeMs,
    );
    this.#copies.push({at: time.now(), image: state.image()});
  }

  /** The store is away for a time and comes back from a copy. */
  drill(ageMs: number, awayMs: number, onBack: () => void): void {
    const oldest = this.time.now() - ageMs;
    const copy = this.#copies.find(({at}) => at >= oldest);
    this.#away++;
    this.state.dropWatches();
    this.time.after(
      awayMs,
      () => {
        this.#away--;
        this.#era++;
        if (copy) this.state.restore(copy.image);
        // The time of a copy ends with a later one.
        this.#copies = this.#copies.filter(({at}) => at <= (copy?.at ?? 0));
        onBack();
      },
      '',
    );
  }

  put(key: string, value: string): void {
    this.state.txn({compares: [], puts: [{key, value: Buffer.from(value)}]});
  }

  value(key: string): string | null {
    const [entry] = this.state.range(key, false);
    return entry ? Buffer.from(entry.value).toString() : null;
  }

  client(nodeId: string): Store {
    return new DrillClient(this, nodeId);
  }
}

type Answer<T> = Result<T, MeshError>;

/** A value that a node read, with the era of the answer. */
interface Base {
  readonly revision: number;
  readonly era: number;
  readonly value: string;
}

/** Store as one process of a node reaches it. */
class DrillClient implements Store {
  readonly #store: DrillStore;
  readonly #nodeId: string;
  /** Highest era of the answers that this process got. */
  #seenEra = 0;
  readonly #bases = new Map<string, Base>();

  constructor(store: DrillStore, nodeId: string) {
    this.#store = store;
    this.#nodeId = nodeId;
  }

  get(key: string, options: StoreCallOptions = {}) {
    return this.#call('read', options, () => {
      const [entry] = this.#store.state.range(key, false);
      return {value: entry ?? null, revision: this.#store.state.revision};
    });
  }

  list(prefix: string, options: StoreCallOptions = {}) {
    return this.#call('read', options, () => ({
      value: this.#store.state.range(prefix, true) as readonly Entry[],
      revision: this.#store.state.revision,
    }));
  }

  async txn(
    txn: Txn,
    options: StoreCallOptions = {},
  ): Promise<Answer<TxnOutcome>> {
    const seenEra = this.#seenEra;
    const done = await this.#call('write', options, () => {
      const {state} = this.#store;
      const before = txn.compares.map(
        ({key}) => state.range(key, false)[0] ?? null,
      );
      const value = state.txn(txn);
      if ('committed' in value && value.committed) {
        for (const entry of before) this.#checkBase(entry, seenEra);
        for (const put of txn.puts ?? []) {
          this.#store.onWrite({nodeId: this.#nodeId, ...put});
        }
      }
      return {value, revision: state.revision};
    });
    return done.andThen((value): Answer<TxnOutcome> => {
      if (!('rejected' in value)) return Result.ok(value);
      return Result.err(rejected(value.rejected));
    });
  }

  grantLease(ttlMs: number, options: StoreCallOptions = {}) {
    return this.#call('write', options, () => ({
      value: this.#store.state.grant(ttlMs, this.#store.time.now()),
      revision: this.#store.state.revision,
    }));
  }

  keepAlive(lease: string, options: StoreCallOptions = {}) {
    return this.#call('write', options, () => ({
      value:
        this.#store.state.keepAlive(lease, this.#store.time.now()) !== null,
      revision: this.#store.state.revision,
    }));
  }

  revoke(lease: string, options: StoreCallOptions = {}) {
    return this.#call('write', options, () => ({
      value: this.#store.state.revoke(lease),
      revision: this.#store.state.revision,
    }));
  }

  async watch(options: WatchOptions): Promise<Answer<true>> {
    const {key, prefix = false, fromRevision, onEvent, signal} = options;
    const {state, time} = this.#store;
    if (!this.#isReached) return Result.err(unavailable('not reached'));
    await this.#way();
    if (this.#store.isAway) return Result.err(unavailable('away'));
    if (fromRevision > state.revision + 1)
      return Result.err(unavailable('the store does not have the revision'));
    const owner = this.#nodeId;
    return new Promise(resolve => {
      const end = state.subscribe({
        key,
        prefix,
        fromRevision,
        onEvents: events => {
          time.after(
            latencyMs,
            () => {
              if (!signal.aborted && this.#isReached) events.forEach(onEvent);
            },
            owner,
          );
        },
        onLost: () => {
          const lost = Result.err<true, MeshError>(unavailable('lost'));
          time.after(latencyMs, () => resolve(lost), owner);
        },
      });
      const stop = () => {
        end();
        resolve(Result.ok(true));
      };
      if (signal.aborted) stop();
      else signal.addEventListener('abort', stop, {once: true});
    });
  }

  get #isReached(): boolean {
    const {faults, isAway} = this.#store;
    return !isAway && !faults.unreached.has(this.#nodeId);
  }

  /** Waits as long as a message is on its way, in the process of the node. */
  #way(): Promise<void> {
    const {time, random, faults} = this.#store;
    const isLate = random.float() < faults.lateShare;
    const ms = isLate ? random.float() * maxLateMs : latencyMs;
    return new Promise(resolve => {
      time.after(ms, resolve, this.#nodeId);
    });
  }

  async #call<T>(
    kind: 'read' | 'write',
    options: StoreCallOptions,
    run: () => {value: T; revision: number},
  ): Promise<Answer<T>> {
    const {time, random, faults} = this.#store;
    const {timeoutMs = defaultTimeoutMs, signal} = options;
    if (!this.#isReached) return Result.err(unavailable('not reached'));
    const isLost = random.float() < faults.lostShare;
    const none = Result.err<T, MeshError>(uncertain(kind, 'no answer'));
    const answered = this.#way().then(async () => {
      if (!this.#isReached) return none;
      this.#store.state.expire(time.now());
      const era = this.#store.era;
      const {value, revision} = run();
      if (isLost) return none;
      await this.#way();
      return {era, value, revision};
    });
    const limit = new Promise<typeof none>(resolve => {
      time.after(timeoutMs, () => resolve(none), this.#nodeId);
      signal?.addEventListener('abort', () => resolve(none), {once: true});
    });
    const answer = await Promise.race([answered, limit]);
    if (!('era' in answer)) return answer;
    return this.#receive(answer, options);
  }

  #receive<T>(
    {era, value, revision}: {era: number; value: T; revision: number},
    options: StoreCallOptions,
  ): Answer<T> {
    this.#seenEra = Math.max(this.#seenEra, era);
    for (const entry of entriesOf(value)) {
      this.#bases.set(entry.key, {
        revision: entry.revision,
        era,
        value: Buffer.from(entry.value).toString(),
      });
    }
    options.onRevision?.(revision);
    return Result.ok(value);
  }

  /** A base from before a drill that the node knows of must not be replaced. */
  #checkBase(before: Entry | null, seenEra: number): void {
    if (!before) return;
    const base = this.#bases.get(before.key);
    if (base?.revision !== before.revision) return;
    const isSame = base.value === Buffer.from(before.value).toString();
    if (isSame || base.era >= seenEra) return;
    this.#store.onFault(
      `${this.#nodeId} replaced ${before.key} by a base of era ${base.era}`,
    );
  }
}

function entriesOf(value: unknown): Entry[] {
  const rows = Array.isArray(value) ? (value as unknown[]) : [value];
  return rows.filter(
    (row): row is Entry =>
      typeof row === 'object' && row !== null && 'createRevision' in row,
  );
}
