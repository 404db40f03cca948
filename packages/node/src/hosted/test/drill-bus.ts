import {MeshError, WIRE_CODES} from '@verbenabeam/core';
import type {
  NoticeHandler,
  PeerBus,
  PeerContext,
  RequestHandler,
} from '@verbenabeam/wire';
import {Result} from 'true-myth';
import type {VirtualTime} from './virtual-time.js';

/** One way between two nodes, in ms. */
const latencyMs = 1;

interface Endpoint {
  readonly nodeId: string;
  /** Id of the process. */
  readonly memberId: string;
  readonly requests: Map<string, RequestHandler>;
  readonly notices: Map<string, NoticeHandler>;
}

/** Links between nodes in virtual time; messages are copied as the wire does. */
export class DrillLinks {
  /** Nodes of the one part of the fleet; empty while there is one part. */
  readonly apart = new Set<string>();
  readonly #time: VirtualTime;
  readonly #endpoints = new Map<string, Endpoint>();

  constructor(time: VirtualTime) {
    this.#time = time;
  }

  isCut(a: string, b: string): boolean {
    return this.apart.has(a) !== this.apart.has(b);
  }

  /** Bus of a new process at an address, in place of the former one. */
  bus(nodeId: string, memberId: string, address: string): PeerBus {
    const own: Endpoint = {
      nodeId,
      memberId,
      requests: new Map(),
      notices: new Map(),
    };
    this.#endpoints.set(address, own);
    return {
      request: (to: string, kind: string, body: unknown) =>
        this.#request(own, to, kind, body),
      notify: (to: string, kind: string, body: unknown) =>
        this.#notify(own, this.#endpoints.get(to), kind, body),
      onRequest: (kind: string, handler: RequestHandler) => {
        own.requests.set(kind, handler);
      },
      onNotice: (kind: string, handler: NoticeHandler) => {
        own.notices.set(kind, handler);
      },
    } as unknown as PeerBus;
  }

  /** Ends the process at an address. */
  close(address: string): void {
    this.#endpoints.delete(address);
  }

  #isOpen(from: Endpoint, to: Endpoint): boolean {
    const ends = [...this.#endpoints.values()];
    const isUp = ends.includes(from) && ends.includes(to);
    return isUp && !this.isCut(from.nodeId, to.nodeId);
  }

  #notify(
    from: Endpoint,
    to: Endpoint | undefined,
    kind: string,
    body: unknown,
  ): void {
    if (!to || !this.#isOpen(from, to)) return;
    const copy: unknown = structuredClone(body);
    this.#time.after(
      latencyMs,
      () => {
        if (this.#isOpen(from, to))
          to.notices.get(kind)?.(copy, this.#peer(to, from));
      },
      to.nodeId,
    );
  }

  #request(from: Endpoint, address: string, kind: string, body: unknown) {
    const to = this.#endpoints.get(address);
    const lost = new MeshError(WIRE_CODES.unreachable, 'The link is cut.');
    return new Promise<Result<unknown, MeshError>>(resolve => {
      const answer = (res: Result<unknown, MeshError>) => {
        this.#time.after(latencyMs, () => resolve(res), from.nodeId);
      };
      if (!to || !this.#isOpen(from, to)) {
        answer(Result.err(lost));
        return;
      }
      const copy: unknown = structuredClone(body);
      this.#time.after(
        latencyMs,
        () => {
          const handler = to.requests.get(kind);
          if (!handler || !this.#isOpen(from, to)) {
            answer(Result.err(lost));
            return;
          }
          const done = handler(copy, this.#peer(to, from));
          void Promise.resolve(done).then(res =>
            answer(res.map(value => structuredClone(value))),
          );
        },
        to.nodeId,
      );
    });
  }

  #peer(self: Endpoint, from: Endpoint): PeerContext {
    return {
      nodeId: from.memberId,
      signal: new AbortController().signal,
      notify: (kind, body) => {
        this.#notify(self, from, kind, body);
        return true;
      },
    };
  }
}
