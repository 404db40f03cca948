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

/** Selects the members to probe and matches acks to probes. @internal */
export class ProbeRound {
  #round: string[] = [];
  #lastNumber = 0;
  readonly #open = new Map<number, OpenProbe>();
  readonly #relayed = new Map<number, RelayedProbe>();

  /** Next live member, in shuffled rounds over all members but this node. */
  next(
    table: MemberTable,
    selfId: string,
    rng: RandomSource,
  ): InstanceRecord | null {
    for (let refills = 0; refills < 2;) {
      const nodeId = this.#round.pop();
      if (nodeId === undefined) {
        const ids = table.live().map(r => r.nodeId);
        this.#round = rng.shuffle(ids.filter(id => id !== selfId));
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
