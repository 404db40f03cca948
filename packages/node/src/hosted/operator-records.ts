import {INVARIANT_CODES, logger, systemClock} from '@verbenabeam/core';
import type {Clock, Invariants} from '@verbenabeam/core';
import type {Snapshot} from '@verbenabeam/document';
import {
  decodePosition,
  eraOf,
  keptPosition,
  positionFields,
} from '@verbenabeam/store';
import type {OperatorFormat, RolloutOrder} from './operator-documents.js';
import {PastOrders} from './past-orders.js';

/** A key that an operator wrote, as received from the store or a peer. @internal */
export interface OperatorRecord {
  readonly key: string;
  /** Position in the store's order, across its eras. */
  readonly revision: number;
  readonly value: Uint8Array;
}

/** A rollout order with the position that identifies it. @internal */
export interface OrderRecord {
  readonly order: RolloutOrder;
  readonly revision: number;
}

/** Called for each newer document. @internal */
export interface OperatorListener {
  onConfig(snapshot: Snapshot): void;
  onOrder(orderRecord: OrderRecord): void;
  /** Called when the store, or the nodes in its place, hold an order anew. */
  onOrderMoved?(orderRecord: OrderRecord): void;
  /** Called with the highest position after new records were added. */
  onRevision?(revision: number): void;
  /** Called with the highest positions before and after a new era was seen. */
  onEra?(before: number, after: number): void;
}

/** How records were received. @internal */
export interface OfferOptions {
  /** Whether these are all records that the store has. Default false. */
  readonly isComplete?: boolean;
}

/**
 * Time after a new era was seen in which an order equal to the last one is that one,
 * written again, in ms. Operators and their tools write again within seconds.
 */
export const REWRITE_MS = 30_000;
const log = logger('config');

/**
 * The operators' records, with the newest that this node received of each key. Records
 * arrive from the store and from peers, in any order. The configuration only moves to
 * higher versions; an unreadable one changes nothing.
 *
 * A store that comes back from a copy shows older records in a new era. What this node
 * holds of an earlier one stays in their place until an operator writes again.
 *
 * @internal
 */
export class OperatorRecords {
  readonly #format: OperatorFormat;
  readonly #invariants: Invariants;
  readonly #listener: OperatorListener;
  readonly #clock: Clock;
  readonly #records = new Map<string, OperatorRecord>();
  readonly #orders = new PastOrders();
  #snapshot: Snapshot | null = null;
  /** Record of the active configuration. */
  #config: OperatorRecord | null = null;
  #revision = 0;
  /** Time at which the present era replaced another one. */
  #eraSeenAt = -Infinity;

  constructor(
    format: OperatorFormat,
    invariants: Invariants,
    listener: OperatorListener,
    clock: Clock = systemClock,
  ) {
    this.#format = format;
    this.#invariants = invariants;
    this.#listener = listener;
    this.#clock = clock;
  }

  /** The active configuration; null before the first. */
  get snapshot(): Snapshot | null {
    return this.#snapshot;
  }

  /** Highest position of all records; 0 without records. */
  get revision(): number {
    return this.#revision;
  }

  /** Records with a higher position, for a peer that is behind. */
  since(revision: number): readonly OperatorRecord[] {
    return [...this.#records.values()].filter(r => r.revision > revision);
  }

  /** Adds newer records; returns whether there were any. */
  offer(
    records: readonly OperatorRecord[],
    {isComplete = false}: OfferOptions = {},
  ): boolean {
    const before = this.#revision;
    const top = Math.max(0, ...records.map(({revision}) => revision));
    if (before > 0 && eraOf(top) > eraOf(before)) {
      this.#eraSeenAt = this.#clock.now();
    }
    const newer = records.filter(r => this.#isNewer(r));
    const keptAt = keptPosition(top);
    for (const record of newer) this.#accept(record, keptAt);
    for (const record of records) {
      if (this.#isOlder(record)) this.#orders.addFormer(record);
    }
    if (isComplete) this.#keepMissing(keptAt);
    if (this.#revision === before && newer.length === 0) return false;
    if (before > 0 && eraOf(this.#revision) > eraOf(before)) {
      this.#listener.onEra?.(before, this.#revision);
    }
    this.#listener.onRevision?.(this.#revision);
    return true;
  }

  #isNewer({key, revision}: OperatorRecord): boolean {
    return revision > (this.#records.get(key)?.revision ?? 0);
  }

  #isOlder({key, revision}: OperatorRecord): boolean {
    return revision < (this.#records.get(key)?.revision ?? 0);
  }

  /** @param keptAt - Position of a held record that stays in place of this one. */
  #accept(record: OperatorRecord, keptAt: number): void {
    const {key, revision, value} = record;
    const held = this.#held(key);
    const isNextEra = held !== null && eraOf(revision) > eraOf(held.revision);
    const isEqual = held !== null && Buffer.compare(held.value, value) === 0;
    const isFormer = isNextEra && this.#orders.hasFormer(record);
    if (isEqual && !isFormer && this.#isWrittenAgain(held, revision)) {
      this.#move(held, revision);
      if (!decodePosition(revision).isKept) this.#orders.addPlace(record);
      return;
    }
    const startAt = performance.now();
    const parsed = this.#format.parse(key, value);
    if (parsed.isErr) {
      const {code, message} = parsed.error;
      log('Operator document refused.', {
        key,
        ...positionFields(revision),
        code: code.code,
        message,
      });
    }
    const document = parsed.unwrapOr(null);
    const config = document?.kind === 'config' ? document.snapshot : null;
    const isOld =
      isFormer ||
      (isNextEra && parsed.isErr) ||
      (config !== null && this.#isOldConfig(record, config));
    if (held && isOld) {
      log('Former operator document passed over.', {
        key,
        ...positionFields(revision),
      });
      this.#move(held, keptAt);
      return;
    }
    this.#hold(record);
    if (config) this.#apply(record, config, startAt);
    if (document?.kind === 'order') {
      this.#orders.add(document.order, record);
      this.#listener.onOrder({order: document.order, revision});
    }
  }

  /** The held record, with the active configuration if it is its key. */
  #held(key: string): OperatorRecord | null {
    const held = this.#records.get(key);
    if (!held) return null;
    const {value = held.value} =
      this.#config?.key === key ? this.#config : held;
    return {...held, value};
  }

  /** Whether a record equal to the held one is that one, written anew. */
  #isWrittenAgain(held: OperatorRecord, revision: number): boolean {
    const {era, isKept} = decodePosition(held.revision);
    if (isKept || eraOf(revision) > era) return true;
    return this.#clock.now() - this.#eraSeenAt < REWRITE_MS;
  }

  /** Whether the node's own configuration is to be held in place of this one. */
  #isOldConfig({key, revision}: OperatorRecord, config: Snapshot): boolean {
    if (eraOf(revision) === 0 || this.#config?.key !== key) return false;
    return config.version <= (this.#snapshot?.version ?? 0);
  }

  /** Keeps what the store showed in an earlier era and has no more. */
  #keepMissing(keptAt: number): void {
    for (const key of [...this.#records.keys()]) {
      const held = this.#held(key);
      if (held && eraOf(held.revision) < eraOf(keptAt))
        this.#move(held, keptAt);
    }
  }

  #hold(record: OperatorRecord): void {
    this.#records.set(record.key, record);
    this.#revision = Math.max(this.#revision, record.revision);
  }

  /** Holds the record at another position. */
  #move(held: OperatorRecord, revision: number): void {
    this.#hold({...held, revision});
    const order = this.#orders.current(held.key);
    if (order) this.#listener.onOrderMoved?.({order, revision});
  }

  #apply(record: OperatorRecord, next: Snapshot, startAt: number): void {
    const {revision} = record;
    const active = this.#snapshot?.version ?? 0;
    if (next.version <= active) {
      const {version} = next;
      log('Configuration ignored: its version is not newer.', {
        version,
        active,
        ...positionFields(revision),
      });
      return;
    }
    this.#invariants.check(
      INVARIANT_CODES.versionWentBack,
      next.version > active,
      {version: next.version, active},
    );
    this.#snapshot = next;
    this.#config = record;
    this.#listener.onConfig(next);
    log('Configuration applied.', {
      version: next.version,
      before: active,
      ...positionFields(revision),
      routes: next.document.routes.length,
      ms: Math.round(performance.now() - startAt),
    });
  }
}
