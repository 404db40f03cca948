import {hashToUint32} from '@verbenabeam/core';
import {
  EvidenceAggregator,
  packEvidence,
  parentIndex,
  unpackEvidence,
} from '@verbenabeam/moves';
import type {Evidence} from '@verbenabeam/moves';
import type {InstanceRecord} from '@verbenabeam/membership';
import type {PeerBus} from '@verbenabeam/wire';
import type {MembershipService} from '../membership/membership-service.js';
import {MOVE_KINDS} from './move-messages.js';

/**
 * Time without an announcement after which the controller counts as unknown.
 */
const controllerSilenceMs = 5_000;

/** Next receiver of the evidence of this node. */
type NextHop =
  | {readonly kind: 'here'}
  | {
      readonly kind: 'peers';
      readonly message: string;
      readonly peers: readonly InstanceRecord[];
    };

/** Options of {@link EvidenceSender}. @internal */
export interface EvidenceSenderOptions {
  readonly membership: MembershipService;
  readonly bus: PeerBus;
  /** Called with evidence that has reached the controller. */
  readonly onArrived: (evidence: readonly Evidence[]) => void;
}

/**
 * Aggregates evidence and sends it to the controller. Each node sends to its
 * parent in the tree of its data centre, and the root of the tree (a relay) sends
 * to the controller. A root that does not know the controller sends to all other
 * relays; only the controller uses that evidence.
 *
 * @internal
 */
export class EvidenceSender {
  readonly #options: EvidenceSenderOptions;
  readonly #collected = new EvidenceAggregator();
  #controller: {readonly nodeId: string; readonly seenAt: number} | null = null;

  constructor(options: EvidenceSenderOptions) {
    this.#options = options;
  }

  /** Adds evidence of this node. */
  add(evidence: readonly Evidence[]): void {
    this.#collected.add(evidence);
  }

  /** Handles evidence from the root of a tree; only the controller uses it. */
  receiveFromRoot(body: unknown, isController: boolean): void {
    if (isController) this.#options.onArrived(unpackAll(body));
  }

  /** Handles evidence from a child in the tree. */
  receive(body: unknown, isController: boolean): void {
    const parts = unpackAll(body);
    if (isController) this.#options.onArrived(parts);
    else this.#collected.add(parts);
  }

  /** Records which node announced itself as the controller. */
  controllerSeen(nodeId: string, now: number): void {
    this.#controller = {nodeId, seenAt: now};
  }

  /** Called once a second. */
  flush(isController: boolean, now: number): void {
    const evidence = this.#collected.take();
    if (evidence.length === 0) return;
    const next = isController ? {kind: 'here' as const} : this.#nextHop(now);
    if (next.kind === 'here') {
      this.#options.onArrived(evidence);
      return;
    }
    const body = evidence.map(packEvidence);
    for (const peer of next.peers) {
      this.#options.bus.notify(peer.address, next.message, body);
    }
  }

  #nextHop(now: number): NextHop {
    const {own} = this.#options.membership;
    const parent = this.#parent();
    if (parent !== null) {
      return {kind: 'peers', message: MOVE_KINDS.evidence, peers: [parent]};
    }
    const message = MOVE_KINDS.rootEvidence;
    const controller = this.#liveController(now);
    if (controller) return {kind: 'peers', message, peers: [controller]};
    const relays = this.#members().filter(
      row => row.relay && row.nodeId !== own.nodeId,
    );
    return {kind: 'peers', message, peers: relays};
  }

  #liveController(now: number): InstanceRecord | undefined {
    const seen = this.#controller;
    if (!seen || now - seen.seenAt > controllerSilenceMs) return undefined;
    return this.#members().find(row => row.nodeId === seen.nodeId);
  }

  /**
   * Returns the parent in the tree of the local data centre; null for the root.
   */
  #parent(): InstanceRecord | null {
    const {own} = this.#options.membership;
    const local = this.#members().filter(
      row => row.dataCentre === own.dataCentre,
    );
    const ordered = [...local].sort(byHash);
    const root = ordered.find(row => row.relay) ?? ordered[0];
    if (!root) return null;
    const start = ordered.indexOf(root);
    const tree = [...ordered.slice(start), ...ordered.slice(0, start)];
    const index = tree.findIndex(row => row.nodeId === own.nodeId);
    const at = index < 0 ? null : parentIndex(index);
    return at === null ? null : (tree[at] ?? null);
  }

  #members(): readonly InstanceRecord[] {
    const {membership} = this.#options;
    const {environment} = membership.own;
    return membership.live().filter(row => row.environment === environment);
  }
}

function byHash(a: InstanceRecord, b: InstanceRecord): number {
  return hashToUint32(a.nodeId) - hashToUint32(b.nodeId);
}

function unpackAll(body: unknown): Evidence[] {
  const packed = Array.isArray(body) ? body : [];
  return packed.flatMap(item => unpackEvidence(item) ?? []);
}
