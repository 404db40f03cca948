import {MeshError, WIRE_CODES} from '@verbenabeam/core';
import type {InstanceRecord} from '@verbenabeam/membership';
import type {
  NoticeHandler,
  PeerBus,
  PeerContext,
  RequestHandler,
} from '@verbenabeam/wire';
import {Result} from 'true-myth';
import type {MembershipService} from '../../membership/membership-service.js';

/** A node of a {@link FakeMesh}. @internal */
export interface FakeNode {
  readonly record: InstanceRecord;
  readonly bus: PeerBus;
  readonly membership: MembershipService;
}

interface Notice {
  readonly from: string;
  readonly to: string;
  readonly kind: string;
  readonly body: unknown;
}

/**
 * Fake buses and membership of several nodes. Notices are queued until
 * `deliver`.
 */
export class FakeMesh {
  readonly nodes: FakeNode[] = [];
  /** All notices that were delivered. */
  readonly delivered: Notice[] = [];
  /** Ready slots by version. */
  readonly slots = new Map<string, number>();
  readonly #notices = new Map<string, NoticeHandler>();
  readonly #requests = new Map<string, RequestHandler>();
  #queue: Notice[] = [];

  add(nodeId: string, dataCentre: string, relay = false): FakeNode {
    const record: InstanceRecord = {
      nodeId,
      incarnation: 1,
      sequence: 1,
      address: nodeId,
      dataCentre,
      region: 'r',
      environment: 'trial',
      state: 'alive',
      upstream: null,
      relay,
      configVersion: 1,
    };
    const node = {
      record,
      bus: this.#busOf(nodeId),
      membership: this.#membershipOf(record),
    };
    this.nodes.push(node);
    return node;
  }

  /**
   * Delivers the queued notices. Notices sent meanwhile wait for the next call.
   */
  deliver(): number {
    const batch = this.#queue;
    this.#queue = [];
    for (const notice of batch) {
      const {from, to, kind, body} = notice;
      this.delivered.push(notice);
      this.#notices.get(`${to} ${kind}`)?.(body, contextOf(from));
    }
    return batch.length;
  }

  #membershipOf(own: InstanceRecord): MembershipService {
    const candidates = (_service: string, version: string) => [
      {slots: this.slots.get(version) ?? 0},
    ];
    const live = () => this.nodes.map(n => n.record);
    return {own, live, candidates} as unknown as MembershipService;
  }

  #busOf(from: string): PeerBus {
    const unreachable = new MeshError(WIRE_CODES.unreachable, 'no such peer');
    const bus: Partial<PeerBus> = {
      notify: (to, kind, body) => {
        this.#queue.push({from, to, kind, body});
      },
      request: async (to, kind, body) =>
        this.#requests.get(`${to} ${kind}`)?.(body, contextOf(from)) ??
        Result.err(unreachable),
      onNotice: (kind, run) => this.#notices.set(`${from} ${kind}`, run),
      onRequest: (kind, run) => this.#requests.set(`${from} ${kind}`, run),
    };
    return bus as PeerBus;
  }
}

/** A peer whose connection accepts no notices. */
function contextOf(nodeId: string): PeerContext {
  const {signal} = new AbortController();
  return {nodeId, signal, notify: () => false};
}
