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

/** State that the parts of the protocol share. @internal */
export interface ProtocolParts {
  readonly table: MemberTable;
  readonly own: OwnRecord;
  readonly spreader: Dissemination;
  readonly out: Outbox;
  readonly rng: RandomSource;
  readonly options: Required<GossipOptions>;
}

/** Successive unanswered probes after which a node doubts its own links. */
const isolatedAfter = 5;
/** A gap between ticks that shows that this process was paused. */
const pauseMs = 1000;
/** Suspects that are asked directly in one probe period. */
const maxAsked = 10;

/** Probes members, directly and through helpers. @internal */
export class FailureDetector {
  /** Version and hash of the configuration that ride on probes. */
  config: [number, string] = [0, ''];
  readonly #parts: ProtocolParts;
  readonly #round = new ProbeRound();
  #lastTick = -Infinity;
  #probeAt = -Infinity;
  #reunionAt = -Infinity;
  #missed = 0;

  constructor(parts: ProtocolParts) {
    this.#parts = parts;
  }

  start(now: number): void {
    const {rng, options} = this.#parts;
    this.#probeAt = now + rng.float() * options.probeMs;
    this.#reunionAt = now + rng.float() * options.reunionMs;
    this.#lastTick = now;
  }

  tick(now: number): void {
    // Answers that arrived during a pause are still unread.
    if (now - this.#lastTick > pauseMs) this.#round.dropAll();
    this.#lastTick = now;
    this.#checkProbes(now);
    if (now >= this.#probeAt) this.#probeNext(now);
    if (now >= this.#reunionAt) this.#probeDead(now);
  }

  /**
   * Fields that probes and acknowledgements share. Probe 0 goes to nodes that
   * may not exist; updates on it would be used up without being heard.
   */
  contact(number: number) {
    const {own, spreader, options} = this.#parts;
    const u = number === 0 ? [] : spreader.take(options.maxUpdates);
    return {n: number, s: own.key, c: this.config, u};
  }

  /** Probes an address for a node that got no answer itself. */
  probeFor(requester: string, number: number, to: string, now: number): void {
    const target = this.#parts.table.byAddress(to);
    if (target) this.#probe(target, this.#round.relay(requester, number, now));
  }

  /**
   * Takes an answer to a probe.
   *
   * @returns False if it was passed on to the node that asked for the probe.
   */
  answered(ack: GossipMessageOf<'ack'>): boolean {
    const relayed = this.#round.relayedFor(ack.n);
    if (relayed) {
      const {requester, number} = relayed;
      const {s, c} = ack;
      this.#parts.out.send(requester, {k: 'ack', n: number, s, c, u: ack.u});
      return false;
    }
    if (this.#round.answered(ack.n, ack.s[0])) this.#missed = 0;
    return true;
  }

  #probeNext(now: number): void {
    const {table, own, rng, options} = this.#parts;
    this.#probeAt = now + options.probeMs;
    const members = table.live().length;
    table.expire(now, suspicionMs(members, options.minSuspicionMs));
    this.#round.dropRelayed(now, options.probeMs);
    const target = this.#round.next(table, own.value.nodeId, rng);
    if (target) this.#probe(target, this.#round.open(target, now));
    this.#askSuspects();
  }

  /**
   * Asks suspects directly until they refute the doubt or are dead. Each holder
   * of a doubt asks: in small tables a refutation that spreads by probes alone
   * may come after the 3 s of the suspicion.
   */
  #askSuspects(): void {
    const {table, rng} = this.#parts;
    for (const record of rng.shuffle(table.suspects()).slice(0, maxAsked)) {
      this.#probe(record, 0);
    }
  }

  #probe(target: InstanceRecord, number: number): void {
    const {spreader, out} = this.#parts;
    const doubt = spreader.doubtOf(target.nodeId, keyOf(target));
    const contact = this.contact(number);
    out.send(target.address, {k: 'probe', ...contact, ...doubt});
  }

  #checkProbes(now: number): void {
    const {answerMs, probeMs} = this.#parts.options;
    for (const [number, probe] of this.#round.overdue(now, answerMs)) {
      if (now - probe.sentAt >= probeMs) {
        this.#round.close(number);
        this.#doubt(probe.target, now);
      } else if (!probe.indirect) {
        probe.indirect = true;
        this.#askHelpers(probe.target, number);
      }
    }
  }

  #askHelpers(target: InstanceRecord, n: number): void {
    const {spreader, options, out} = this.#parts;
    const to = target.address;
    for (const peer of spreader.peers(options.helpers, target.nodeId)) {
      out.send(peer.address, {k: 'indirect', n, to});
    }
  }

  /** Suspects a silent member. An isolated node keeps the doubt to itself. */
  #doubt(target: InstanceRecord, now: number): void {
    const {table, spreader} = this.#parts;
    this.#missed++;
    const key = keyOf(target);
    if (!table.suspect(key, now)) return;
    if (this.#missed < isolatedAfter) spreader.add(key);
  }

  #probeDead(now: number): void {
    const {table, rng, options} = this.#parts;
    this.#reunionAt = now + options.reunionMs;
    const dead = table.dead();
    if (dead.length > 0) this.#probe(rng.pick(dead), 0);
  }
}
