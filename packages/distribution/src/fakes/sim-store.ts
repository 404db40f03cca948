import {Result} from 'true-myth';
import {MeshError, STORE_CODES} from '@verbenabeam/core';
import type {RandomSource} from '@verbenabeam/core';
import type {
  Entry,
  Put,
  Store,
  Txn,
  TxnOutcome,
  WatchEvent,
  WatchOptions,
} from '@verbenabeam/store';
import type {SimScheduler} from './sim-scheduler.js';

interface Watch extends WatchOptions {
  readonly end: (res: Result<true, MeshError>) => void;
}

interface State {
  readonly revision: number;
  readonly entries: ReadonlyMap<string, Entry>;
}

const maxLatencyMs = 10;
const responseTimeoutMs = 500;
const maxLateWriteMs = 3_000;

/** In-memory store with outages, lost responses and restores. @internal */
export class SimStore implements Store {
  /** Share of transactions whose response is lost. */
  lostResponses = 0;
  readonly #scheduler: SimScheduler;
  readonly #random: RandomSource;
  readonly #onCommit: (puts: readonly Entry[], restores: number) => void;
  readonly #leases = new Map<string, {ttlMs: number; endsAt: number}>();
  readonly #watches = new Set<Watch>();
  #state: State = {revision: 0, entries: new Map()};
  #backup: State = this.#state;
  #leasesOfBackup: ReadonlySet<string> = new Set();
  #leaseCount = 0;
  #isDown = false;
  #restores = 0;
  #outages = 0;

  constructor(
    scheduler: SimScheduler,
    random: RandomSource,
    onCommit: (puts: readonly Entry[], restores: number) => void,
  ) {
    this.#scheduler = scheduler;
    this.#random = random;
    this.#onCommit = onCommit;
  }

  get restores(): number {
    return this.#restores;
  }

  /** Outages so far; null while the store is down. */
  get outages(): number | null {
    return this.#isDown ? null : this.#outages;
  }

  setDown(isDown: boolean): void {
    if (isDown) this.#outages++;
    this.#isDown = isDown;
    if (isDown) this.#dropWatches();
  }

  backUp(): void {
    this.#state = this.#withoutExpired();
    this.#backup = this.#state;
    this.#leasesOfBackup = new Set(this.#leases.keys());
  }

  /** Returns to the last backup. Later leases and writes in transit are lost. */
  restore(): void {
    this.#restores++;
    this.#state = this.#backup;
    for (const id of this.#leases.keys()) {
      if (!this.#leasesOfBackup.has(id)) this.#leases.delete(id);
    }
    this.#dropWatches();
  }

  /** Reads without a call, for checks of the run. */
  peek(key: string): Entry | null {
    this.#state = this.#withoutExpired();
    return this.#state.entries.get(key) ?? null;
  }

  get(key: string): Promise<Result<Entry | null, MeshError>> {
    return this.#call(() => this.peek(key));
  }

  list(prefix: string): Promise<Result<readonly Entry[], MeshError>> {
    return this.#call(() =>
      [...this.#withoutExpired().entries.values()]
        .filter(row => row.key.startsWith(prefix))
        .sort((a, b) => (a.key < b.key ? -1 : 1)),
    );
  }

  async txn(txn: Txn): Promise<Result<TxnOutcome, MeshError>> {
    if (this.#random.float() >= this.lostResponses) {
      return this.#call(() => this.#apply(txn));
    }
    const fate = this.#random.float();
    const restores = this.#restores;
    const delayMs = fate * maxLateWriteMs;
    // A third of the lost writes never arrive; the rest arrive now or late.
    if (fate > 1 / 3 && !this.#isDown) {
      this.#scheduler.after(delayMs, () => {
        if (restores === this.#restores && !this.#isDown) this.#apply(txn);
      });
    }
    await this.#scheduler.wait(responseTimeoutMs);
    const code = STORE_CODES.unknownOutcome;
    return Result.err(new MeshError(code, code.text));
  }

  grantLease(ttlMs: number): Promise<Result<string, MeshError>> {
    return this.#call(() => {
      this.#leaseCount++;
      const id = String(this.#leaseCount);
      this.#leases.set(id, {ttlMs, endsAt: this.#scheduler.now() + ttlMs});
      return id;
    });
  }

  keepAlive(id: string): Promise<Result<boolean, MeshError>> {
    return this.#call(() => {
      const lease = this.#leases.get(id);
      if (!lease || lease.endsAt <= this.#scheduler.now()) return false;
      lease.endsAt = this.#scheduler.now() + lease.ttlMs;
      return true;
    });
  }

  revoke(id: string): Promise<Result<boolean, MeshError>> {
    return this.#call(() => this.#leases.delete(id));
  }

  watch(options: WatchOptions): Promise<Result<true, MeshError>> {
    if (this.#isDown) return Promise.resolve(Result.err(unavailable()));
    return new Promise(resolve => {
      const watch = {...options, end: resolve};
      this.#watches.add(watch);
      const end = () => {
        this.#watches.delete(watch);
        resolve(Result.ok(true));
      };
      options.signal.addEventListener('abort', end);
      for (const entry of this.#state.entries.values()) {
        if (entry.revision >= options.fromRevision) this.#notify(watch, entry);
      }
    });
  }

  async #call<T>(run: () => T): Promise<Result<T, MeshError>> {
    await this.#scheduler.wait(this.#random.float() * maxLatencyMs);
    if (this.#isDown) return Result.err(unavailable());
    const value = run();
    await this.#scheduler.wait(this.#random.float() * maxLatencyMs);
    return Result.ok(value);
  }

  #apply(txn: Txn): TxnOutcome {
    this.#state = this.#withoutExpired();
    const {entries} = this.#state;
    const holds = txn.compares.every(
      ({key, revision}) => (entries.get(key)?.revision ?? 0) === revision,
    );
    if (!holds) {
      const current = txn.compares.flatMap(({key}) => entries.get(key) ?? []);
      return {committed: false, current};
    }
    const revision = this.#state.revision + 1;
    const puts = (txn.puts ?? []).map(put => this.#entry(put, revision));
    const next = new Map(entries);
    for (const entry of puts) next.set(entry.key, entry);
    for (const key of txn.deletes ?? []) next.delete(key);
    this.#state = {revision, entries: next};
    this.#onCommit(puts, this.#restores);
    for (const watch of this.#watches) {
      for (const entry of puts) this.#notify(watch, entry);
    }
    return {committed: true, revision};
  }

  #entry({key, value, lease}: Put, revision: number): Entry {
    const known = this.#state.entries.get(key);
    const createRevision = known?.createRevision ?? revision;
    return {key, value, revision, createRevision, lease: lease ?? null};
  }

  #notify(watch: Watch, entry: Entry): void {
    const matches = watch.prefix
      ? entry.key.startsWith(watch.key)
      : entry.key === watch.key;
    if (!matches) return;
    const event: WatchEvent = {type: 'put', entry};
    this.#scheduler.after(this.#random.float() * maxLatencyMs, () => {
      if (this.#watches.has(watch)) watch.onEvent(event);
    });
  }

  #dropWatches(): void {
    for (const watch of this.#watches) watch.end(Result.err(unavailable()));
    this.#watches.clear();
  }

  #withoutExpired(): State {
    const now = this.#scheduler.now();
    const isLive = ({lease}: Entry) =>
      lease === null || (this.#leases.get(lease)?.endsAt ?? 0) > now;
    const live = [...this.#state.entries].filter(([, row]) => isLive(row));
    if (live.length === this.#state.entries.size) return this.#state;
    return {...this.#state, entries: new Map(live)};
  }
}

function unavailable(): MeshError {
  const code = STORE_CODES.unavailable;
  return new MeshError(code, code.text);
}
