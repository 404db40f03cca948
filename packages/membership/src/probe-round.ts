import type {RandomSource} from '@verbenabeam/core';
import type {InstanceRecord} from './instance-record.js';
import {isLive} from './member-table.js';
import type {MemberTable} from './member-table.js';

/** A probe without an ack so far. @internal */
export interface OpenProbe {
  readonly target: InstanceRecord;
  readonly sentAt: number;
  indirect: boolean;
}

/** A probe sent on behalf of another node. */
interface RelayedProbe {
  readonly requester: string;
  readonly number: number;
  readonly at: number;
}

/** Members among which a probe chooses. */
const PROBE_SCOPES = {all: 'all', local: 'local', remote: 'remote'} as const;
type ProbeScope = (typeof PROBE_SCOPES)[keyof typeof PROBE_SCOPES];

const inScope: Readonly<
  Record<ProbeScope, (row: InstanceRecord, own: InstanceRecord) => boolean>
> = {
  all: () => true,
  local: (row, own) => row.dataCentre === own.dataCentre,
  remote: (row, own) => row.dataCentre !== own.dataCentre,
};

/** With fewer peers in its data centre, a node probes all members alike. */
const minLocalPeers = 3;

/** Selects the members to probe and matches acks to probes. @internal */
export class ProbeRound {
  readonly #rounds: Record<ProbeScope, string[]> = {
    all: [],
    local: [],
    remote: [],
  };
  #lastNumber = 0;
  readonly #open = new Map<number, OpenProbe>();
  readonly #relayed = new Map<number, RelayedProbe>();

  /**
   * Next live member, in shuffled rounds over the members but this node.
   *
   * @param remoteShare - Fraction of probes to other data centres; with 1, the
   *     data centres make no difference.
   */
  next(
    table: MemberTable,
    own: InstanceRecord,
    rng: RandomSource,
    remoteShare: number,
  ): InstanceRecord | null {
    const others = table.live().filter(row => row.nodeId !== own.nodeId);
    const scope = scopeOf(others, own, rng, remoteShare);
    const round = this.#rounds[scope];
    for (let refills = 0; refills < 2;) {
      const nodeId = round.pop();
      if (nodeId === undefined) {
        const found = others.filter(row => inScope[scope](row, own));
        round.push(...rng.shuffle(found.map(row => row.nodeId)));
        refills++;
        continue;
      }
      const record = table.get(nodeId);
      if (record && isLive(record)) return record;
    }
    return null;
  }

  open(target: InstanceRecord, now: number): number {
    const number = ++this.#lastNumber;
    this.#open.set(number, {target, sentAt: now, indirect: false});
    return number;
  }

  relay(requester: string, number: number, now: number): number {
    const own = ++this.#lastNumber;
    this.#relayed.set(own, {requester, number, at: now});
    return own;
  }

  /** Closes a probe. An ack from another process at its address is ignored. */
  acknowledge(number: number, nodeId: string): boolean {
    const probe = this.#open.get(number);
    if (probe?.target.nodeId !== nodeId) return false;
    return this.#open.delete(number);
  }

  /** Removes and returns the request behind a probe for another node. */
  takeRelayed(number: number): RelayedProbe | undefined {
    const relayed = this.#relayed.get(number);
    this.#relayed.delete(number);
    return relayed;
  }

  /** Open probes that were sent at least the given time ago. */
  overdue(now: number, waitMs: number): [number, OpenProbe][] {
    return [...this.#open].filter(([, p]) => now - p.sentAt >= waitMs);
  }

  close(number: number): void {
    this.#open.delete(number);
  }

  /** Drops all open probes, after a pause of this process. */
  dropAll(): void {
    this.#open.clear();
  }

  dropRelayed(now: number, ageMs: number): void {
    for (const [number, {at}] of this.#relayed) {
      if (now - at >= ageMs) this.#relayed.delete(number);
    }
  }
}

function scopeOf(
  others: readonly InstanceRecord[],
  own: InstanceRecord,
  rng: RandomSource,
  remoteShare: number,
): ProbeScope {
  if (remoteShare >= 1) return PROBE_SCOPES.all;
  const local = others.filter(row => inScope.local(row, own)).length;
  if (local < minLocalPeers || local === others.length) return PROBE_SCOPES.all;
  const isRemote = rng.float() < remoteShare;
  return isRemote ? PROBE_SCOPES.remote : PROBE_SCOPES.local;
}
