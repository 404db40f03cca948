import {once} from 'node:events';
import net from 'node:net';
import type {AddressInfo} from 'node:net';
import {PipeDirection} from './pipe-direction.js';

/** What a proxy does to the connections of one client. */
export interface LinkFault {
  /** Time by which each piece is late, in ms. */
  delayMs: number;
  /** Nothing is passed on to the server until the fault ends. */
  holdsRequests: boolean;
  /** Nothing is passed on to the client until the fault ends. */
  holdsAnswers: boolean;
  /** Answers that are sent once more, late. */
  repeats: number;
}

const calm: LinkFault = {
  delayMs: 0,
  holdsRequests: false,
  holdsAnswers: false,
  repeats: 0,
};

interface Link {
  readonly client: net.Socket;
  readonly directions: readonly PipeDirection[];
}

/** Passes TCP connections on, with faults for each client by its address. */
export class LinkProxy {
  readonly #target: () => string;
  readonly #faults = new Map<string, LinkFault>();
  readonly #links = new Set<Link>();
  readonly #server = net.createServer({allowHalfOpen: true}, socket => {
    this.#accept(socket);
  });

  /** @param target - `ip:port` of the server; asked for each connection. */
  constructor(target: () => string) {
    this.#target = target;
  }

  /**
   * Resolves with `ip:port`.
   *
   * @param port - 0 for any that is free.
   */
  async start(host: string, port: number): Promise<string> {
    await once(this.#server.listen(port, host), 'listening');
    const {port: found} = this.#server.address() as AddressInfo;
    return `${host}:${found}`;
  }

  stop(): void {
    this.#server.close();
    for (const {client} of this.#links) client.destroy();
  }

  /** @param ip - Address of the client. */
  set(ip: string, fault: Partial<LinkFault>): void {
    this.#faults.set(ip, {...calm, ...fault});
    this.#resume(ip);
  }

  clear(ip: string): void {
    this.#faults.delete(ip);
    this.#resume(ip);
  }

  /** Resets all connections of a client. */
  reset(ip: string): void {
    for (const {client} of this.#links) {
      if (client.remoteAddress === ip) client.resetAndDestroy();
    }
  }

  #resume(ip: string): void {
    for (const {client, directions} of this.#links) {
      if (client.remoteAddress !== ip) continue;
      for (const direction of directions) direction.resume();
    }
  }

  #accept(client: net.Socket): void {
    const ip = client.remoteAddress ?? '';
    const [host, port] = this.#target().split(':');
    const server = net.connect({
      host,
      port: Number(port),
      allowHalfOpen: true,
    });
    const fault = () => this.#faults.get(ip) ?? calm;
    const link: Link = {
      client,
      directions: [
        new PipeDirection(client, server, () => ({
          delayMs: fault().delayMs,
          isHeld: fault().holdsRequests,
          takeRepeat: () => false,
        })),
        new PipeDirection(server, client, () => ({
          delayMs: fault().delayMs,
          isHeld: fault().holdsAnswers,
          takeRepeat: () => fault().repeats > 0 && fault().repeats-- > 0,
        })),
      ],
    };
    this.#links.add(link);
    for (const [socket, other] of [
      [client, server],
      [server, client],
    ] as const) {
      // An error is followed by the close of the socket, which ends the other one.
      socket.on('error', () => other.resetAndDestroy());
      socket.on('close', () => {
        other.destroySoon();
        this.#links.delete(link);
      });
    }
  }
}
