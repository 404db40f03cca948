import {INVARIANT_CODES, logger} from '@verbenabeam/core';
import type {Invariants} from '@verbenabeam/core';
import type {Snapshot} from '@verbenabeam/document';
import type {OperatorFormat, RolloutOrder} from './operator-documents.js';

/** A key that an operator wrote, as received from the store or a peer. @internal */
export interface OperatorRecord {
  readonly key: string;
  readonly revision: number;
  readonly value: Uint8Array;
}

/** A rollout order with the revision that identifies it. @internal */
export interface OrderRecord {
  readonly order: RolloutOrder;
  readonly revision: number;
}

/** Called for each newer document. @internal */
export interface OperatorListener {
  onConfig(snapshot: Snapshot): void;
  onOrder(orderRecord: OrderRecord): void;
  /** Called with the highest revision after new records were added. */
  onRevision?(revision: number): void;
}

const log = logger('config');

/**
 * The operators' records, with the highest revision that this node received of
 * each key. Records arrive from the store and from peers, in any order. The
 * configuration only moves to higher versions; an unreadable one changes nothing.
 *
 * @internal
 */
export class OperatorRecords {
  readonly #format: OperatorFormat;
  readonly #invariants: Invariants;
  readonly #listener: OperatorListener;
  readonly #records = new Map<string, OperatorRecord>();
  #snapshot: Snapshot | null = null;
  #revision = 0;

  constructor(
    format: OperatorFormat,
    invariants: Invariants,
    listener: OperatorListener,
  ) {
    this.#format = format;
    this.#invariants = invariants;
    this.#listener = listener;
  }

  /** The active configuration; null before the first. */
  get snapshot(): Snapshot | null {
    return this.#snapshot;
  }

  /** Highest revision of all records; 0 without records. */
  get revision(): number {
    return this.#revision;
  }

  /** Records with a higher revision, for a peer that is behind. */
  since(revision: number): readonly OperatorRecord[] {
    return [...this.#records.values()].filter(r => r.revision > revision);
  }

  /** Adds newer records; returns whether there were any. */
  offer(records: readonly OperatorRecord[]): boolean {
    const newer = records.filter(r => this.#isNewer(r));
    for (const record of newer) this.#accept(record);
    if (newer.length > 0) this.#listener.onRevision?.(this.#revision);
    return newer.length > 0;
  }

  #isNewer({key, revision}: OperatorRecord): boolean {
    return revision > (this.#records.get(key)?.revision ?? 0);
  }

  #accept(record: OperatorRecord): void {
    const {key, revision, value} = record;
    this.#records.set(key, record);
    this.#revision = Math.max(this.#revision, revision);
    const startAt = performance.now();
    const parsed = this.#format.parse(key, value);
    if (parsed.isErr) {
      const {code, message} = parsed.error;
      log('Operator document refused.', {
        key,
        revision,
        code: code.code,
        message,
      });
    } else if (parsed.value?.kind === 'config') {
      this.#apply(parsed.value.snapshot, revision, startAt);
    } else if (parsed.value?.kind === 'order') {
      this.#listener.onOrder({order: parsed.value.order, revision});
    }
  }

  #apply(next: Snapshot, revision: number, startAt: number): void {
    const active = this.#snapshot?.version ?? 0;
    if (next.version <= active) {
      const {version} = next;
      log('Configuration ignored: its version is not newer.', {
        version,
        active,
        revision,
      });
      return;
    }
    this.#invariants.check(
      INVARIANT_CODES.versionWentBack,
      next.version > active,
      {version: next.version, active},
    );
    this.#snapshot = next;
    this.#listener.onConfig(next);
    log('Configuration applied.', {
      version: next.version,
      before: active,
      revision,
      routes: next.document.routes.length,
      ms: Math.round(performance.now() - startAt),
    });
  }
}
