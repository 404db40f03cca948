import type {RandomSource} from '@verbenabeam/core';
import type {Dissemination} from './dissemination.js';
import {suspicionMs} from './gossip-options.js';
import type {GossipOptions} from './gossip-options.js';
import type {InstanceRecord} from './instance-record.js';
import type {MemberTable} from './member-table.js';
import type {GossipMessageOf} from './messages.js';
import type {Outbox} from './outbox.js';
import type {OwnRecord} from './own-record.js';
import {ProbeRound} from './probe-round.js';
import {keyOf} from './update.js';

/** Objects shared by the components of the protocol. @internal */
export interface ProtocolContext {
  readonly table: MemberTable;
  readonly own: OwnRecord;
  readonly dissemination: Dissemination;
  readonly out: Outbox;
  readonly rng: RandomSource;
  readonly options: Required<GossipOptions>;
}

/** Consecutive failed probes after which a node assumes that it is isolated. */
const isolatedAfterMisses = 5;
/** A longer gap between ticks means that this process was paused. */
const pauseMs = 1000;
/** Most suspects probed directly in one probe period. */
const maxSuspectProbes = 10;

/** Probes members directly and through other nodes. @internal */
export class FailureDetector {
  /** Configuration version and hash, sent with each probe and ack. */
  config: [number, string] = [0, ''];
  readonly #context: ProtocolContext;
  readonly #round = new ProbeRound();
  #lastTick = -Infinity;
  #probeAt = -Infinity;
  #reunionAt = -Infinity;
  #failedProbes = 0;

  constructor(context: ProtocolContext) {
    this.#context = context;
  }

  start(now: number): void {
    const {rng, options} = this.#context;
    this.#probeAt = now + rng.float() * options.probeMs;
    this.#reunionAt = now + rng.float() * options.reunionMs;
    this.#lastTick = now;
  }

  tick(now: number): void {
    // Acks that arrived during the pause have not been read yet.
    if (now - this.#lastTick > pauseMs) this.#round.dropAll();
    this.#lastTick = now;
    this.#checkProbes(now);
    if (now >= this.#probeAt) this.#probeNext(now);
    if (now >= this.#reunionAt) this.#probeDead(now);
  }

  /**
   * Fields that probes and acks share. Probe 0 goes to nodes that may not exist
   * and carries no updates: each would count as sent although it may be lost.
   */
  probeHeader(number: number) {
    const {own, dissemination, options} = this.#context;
    const u = number === 0 ? [] : dissemination.take(options.maxUpdates);
    return {n: number, s: own.key, c: this.config, u};
  }

  /** Probes an address for a node that received no ack from it. */
  probeFor(requester: string, number: number, to: string, now: number): void {
    const target = this.#context.table.byAddress(to);
    if (target) this.#probe(target, this.#round.relay(requester, number, now));
  }

  /**
   * Handles the ack of a probe.
   *
   * @returns False if the ack was forwarded to the requester of the probe.
   */
  handleAck(ack: GossipMessageOf<'ack'>): boolean {
    const relayed = this.#round.takeRelayed(ack.n);
    if (relayed) {
      const {requester, number} = relayed;
      const {s, c} = ack;
      this.#context.out.send(requester, {k: 'ack', n: number, s, c, u: ack.u});
      return false;
    }
    if (this.#round.acknowledge(ack.n, ack.s[0])) this.#failedProbes = 0;
    return true;
  }

  #probeNext(now: number): void {
    const {table, own, rng, options} = this.#context;
    this.#probeAt = now + options.probeMs;
    const members = table.live().length;
    table.expire(now, suspicionMs(members, options.minSuspicionMs));
    this.#round.dropRelayed(now, options.probeMs);
    const {remoteShare} = options;
    const target = this.#round.next(table, own.value, rng, remoteShare);
    if (target) this.#probe(target, this.#round.open(target, now));
    this.#probeSuspects();
  }

  /**
   * Probes suspects directly until they refute the suspicion or are dead. Every
   * node that suspects a member does so: in small tables a refutation that
   * spreads by regular probes alone may take longer than the 3 s timeout.
   */
  #probeSuspects(): void {
    const {table, rng} = this.#context;
    for (const record of rng
      .shuffle(table.suspects())
      .slice(0, maxSuspectProbes)) {
      this.#probe(record, 0);
    }
  }

  #probe(target: InstanceRecord, number: number): void {
    const {dissemination, out} = this.#context;
    const suspicion = dissemination.suspicionOf(target.nodeId, keyOf(target));
    const probeHeader = this.probeHeader(number);
    out.send(target.address, {k: 'probe', ...probeHeader, ...suspicion});
  }

  #checkProbes(now: number): void {
    const {answerMs, probeMs} = this.#context.options;
    for (const [number, probe] of this.#round.overdue(now, answerMs)) {
      if (now - probe.sentAt >= probeMs) {
        this.#round.close(number);
        this.#suspectSilent(probe.target, now);
      } else if (!probe.indirect) {
        probe.indirect = true;
        this.#askHelpers(probe.target, number);
      }
    }
  }

  #askHelpers(target: InstanceRecord, n: number): void {
    const {dissemination, options, out} = this.#context;
    const to = target.address;
    for (const peer of dissemination.peers(options.helpers, target.nodeId)) {
      out.send(peer.address, {k: 'indirect', n, to});
    }
  }

  /** Suspects a silent member. An isolated node does not spread suspicions. */
  #suspectSilent(target: InstanceRecord, now: number): void {
    const {table, dissemination} = this.#context;
    this.#failedProbes++;
    const key = keyOf(target);
    if (!table.suspect(key, now)) return;
    if (this.#failedProbes < isolatedAfterMisses) dissemination.add(key);
  }

  #probeDead(now: number): void {
    const {table, rng, options} = this.#context;
    this.#reunionAt = now + options.reunionMs;
    const dead = table.dead();
    if (dead.length > 0) this.#probe(rng.pick(dead), 0);
  }
}
