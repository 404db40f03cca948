import type {MeshError} from '@verbenabeam/core';
import {
  conflict,
  encodePosition,
  ERA_VERDICTS,
  eraOf,
  rejected,
  revisionOf,
  StoreEras,
  unavailable,
  uncertain,
} from '@verbenabeam/store';
import type {
  CallKind,
  Entry,
  Store,
  StoreCallOptions,
  Txn,
  TxnOutcome,
  WatchEvent,
  WatchOptions,
} from '@verbenabeam/store';
import {Result} from 'true-myth';
import type {DrillStore} from './drill-store.js';

/** One way to the store and back, in ms. */
const latencyMs = 2;
/** Longest way of a call that is held up, in ms. */
const maxLateMs = 4_000;
const defaultTimeoutMs = 1_000;
const leaseSeparator = '@';

type Answer<T> = Result<T, MeshError>;

interface Answered<T> {
  readonly value: T;
  /** Revision and era of the store when it answered. */
  readonly revision: number;
  readonly era: number;
}

/** A value that a node read, with its position. */
interface Base {
  readonly position: number;
  readonly value: string;
}

/**
 * Store as one process of a node reaches it. As the platform's client it takes only
 * answers of the present era, and refuses writes that rest on an earlier one.
 */
export class DrillClient implements Store {
  readonly eras = new StoreEras();
  readonly #store: DrillStore;
  readonly #nodeId: string;
  readonly #bases = new Map<string, Base>();

  constructor(store: DrillStore, nodeId: string) {
    this.#store = store;
    this.#nodeId = nodeId;
  }

  async get(
    key: string,
    options: StoreCallOptions = {},
  ): Promise<Answer<Entry | null>> {
    const {state} = this.#store;
    const res = await this.#read(options, () => state.range(key, false));
    return res.map(([entry]) => entry ?? null);
  }

  list(
    prefix: string,
    options: StoreCallOptions = {},
  ): Promise<Answer<readonly Entry[]>> {
    const {state} = this.#store;
    return this.#read(options, () => state.range(prefix, true));
  }

  async txn(
    txn: Txn,
    options: StoreCallOptions = {},
  ): Promise<Answer<TxnOutcome>> {
    const sentIn = this.eras.era;
    if (!isOfEra(txn, sentIn)) return Result.err(conflict('an earlier era'));
    const {state} = this.#store;
    const compares = txn.compares.map(({key, revision}) => ({
      key,
      revision: revisionOf(revision),
    }));
    const puts = (txn.puts ?? []).map(({key, value, lease}) =>
      lease === undefined
        ? {key, value}
        : {key, value, lease: leaseOf(lease).id},
    );
    const done = await this.#call('write', options, () => {
      const before = compares.map(({key}) => state.range(key, false)[0]);
      const value = state.txn({...txn, compares, puts});
      if ('committed' in value && value.committed) {
        for (const entry of before) this.#checkBase(entry, sentIn);
        for (const put of puts) {
          this.#store.onWrite({nodeId: this.#nodeId, ...put});
        }
      }
      return value;
    });
    return done.andThen(({value, era}): Answer<TxnOutcome> => {
      if ('rejected' in value) return Result.err(rejected(value.rejected));
      if (!value.committed) {
        const current = value.current.map(entry => decode(entry, era));
        return Result.ok({committed: false, current});
      }
      if (!isOfEra(txn, era))
        return Result.err(uncertain('write', 'of another era'));
      const revision = encodePosition(era, value.revision);
      return Result.ok({committed: true, revision});
    });
  }

  async grantLease(
    ttlMs: number,
    options: StoreCallOptions = {},
  ): Promise<Answer<string>> {
    const {state, time} = this.#store;
    const done = await this.#call('write', options, () =>
      state.grant(ttlMs, time.now()),
    );
    return done.map(({value, era}) => `${value}${leaseSeparator}${era}`);
  }

  keepAlive(
    lease: string,
    options: StoreCallOptions = {},
  ): Promise<Answer<boolean>> {
    const {state, time} = this.#store;
    return this.#onLease(lease, options, id => {
      return state.keepAlive(id, time.now()) !== null;
    });
  }

  revoke(
    lease: string,
    options: StoreCallOptions = {},
  ): Promise<Answer<boolean>> {
    const {state} = this.#store;
    return this.#onLease(lease, options, id => state.revoke(id));
  }

  async watch(options: WatchOptions): Promise<Answer<true>> {
    const {key, prefix = false, fromRevision, onEvent, signal} = options;
    const {state, time} = this.#store;
    const from = Math.max(0, fromRevision - 1);
    const era = eraOf(from);
    const isLost = () => era !== this.eras.era || !this.#isReached;
    this.#store.calls++;
    if (isLost()) return Result.err(unavailable('not reached'));
    await this.#way();
    const revision = revisionOf(from);
    const isKnown = this.#store.era === era && revision <= state.revision;
    if (isLost() || !isKnown) return Result.err(unavailable('not known'));
    const owner = this.#nodeId;
    return new Promise(resolve => {
      const end = state.subscribe({
        key,
        prefix,
        fromRevision: revision + 1,
        onEvents: events => {
          const report = () => {
            if (signal.aborted || isLost()) return;
            for (const event of events) onEvent(decodeEvent(event, era));
          };
          time.after(latencyMs, report, owner);
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

  async #read(
    options: StoreCallOptions,
    run: () => Entry[],
  ): Promise<Answer<Entry[]>> {
    let res = await this.#call('read', options, run);
    if (res.isErr && isUnconfirmed(res.error))
      res = await this.#call('read', options, run);
    return res.map(({value, revision, era}) => {
      const entries = value.map(entry => decode(entry, era));
      for (const entry of entries) {
        const text = Buffer.from(entry.value).toString();
        const base = {position: entry.revision, value: text};
        this.#bases.set(entry.key, base);
      }
      options.onRevision?.(encodePosition(era, revision));
      return entries;
    });
  }

  async #onLease(
    lease: string,
    options: StoreCallOptions,
    run: (id: string) => boolean,
  ): Promise<Answer<boolean>> {
    const {id, era} = leaseOf(lease);
    if (era !== this.eras.era) return Result.ok(false);
    const res = await this.#call('write', options, () => run(id));
    return res.map(done => done.value && done.era === era);
  }

  async #call<T>(
    kind: CallKind,
    options: StoreCallOptions,
    run: () => T,
  ): Promise<Answer<Answered<T>>> {
    const {time, random, faults, state} = this.#store;
    const {timeoutMs = defaultTimeoutMs, signal} = options;
    this.#store.calls++;
    if (!this.#isReached) return Result.err(unavailable('not reached'));
    const sentIn = this.eras.era;
    const isLost = random.float() < faults.lostShare;
    const answered = this.#way().then(async () => {
      if (!this.#isReached) return null;
      state.expire(time.now());
      const {era} = this.#store;
      const value = run();
      const {revision} = state;
      if (isLost) return null;
      await this.#way();
      return {value, revision, era};
    });
    const limit = new Promise<null>(resolve => {
      time.after(timeoutMs, () => resolve(null), this.#nodeId);
      signal?.addEventListener('abort', () => resolve(null), {once: true});
    });
    const answer = await Promise.race([answered, limit]);
    if (!answer) return Result.err(uncertain(kind, 'no answer'));
    const verdict = this.eras.observe(answer.era, sentIn);
    if (verdict === ERA_VERDICTS.current) return Result.ok(answer);
    return Result.err(uncertain(kind, 'of another era', {verdict}));
  }

  /** A base from before a drill that the node knows of must not be replaced. */
  #checkBase(before: Entry | undefined, seenEra: number): void {
    if (!before) return;
    const base = this.#bases.get(before.key);
    if (!base || revisionOf(base.position) !== before.revision) return;
    const isSame = base.value === Buffer.from(before.value).toString();
    if (isSame || eraOf(base.position) >= seenEra) return;
    const era = eraOf(base.position);
    this.#store.onFault(
      `${this.#nodeId} replaced ${before.key} by a base of era ${era}`,
    );
  }
}

function isUnconfirmed({details}: MeshError): boolean {
  return details['verdict'] === ERA_VERDICTS.unconfirmed;
}

function isOfEra({compares, puts = []}: Txn, era: number): boolean {
  return (
    compares.every(({revision}) => revision === 0 || eraOf(revision) === era) &&
    puts.every(({lease}) => lease === undefined || leaseOf(lease).era === era)
  );
}

function leaseOf(lease: string): {id: string; era: number} {
  const [id = '', era = '0'] = lease.split(leaseSeparator);
  return {id, era: Number(era)};
}

function decode(entry: Entry, era: number): Entry {
  return {
    ...entry,
    revision: encodePosition(era, entry.revision),
    createRevision: encodePosition(era, entry.createRevision),
    lease: entry.lease === null ? null : `${entry.lease}@${era}`,
  };
}

function decodeEvent(event: WatchEvent, era: number): WatchEvent {
  return event.type === 'put'
    ? {type: 'put', entry: decode(event.entry, era)}
    : {...event, revision: encodePosition(era, event.revision)};
}
