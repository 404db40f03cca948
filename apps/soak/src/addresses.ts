import {once} from 'node:events';
import net from 'node:net';
import type {TestPorts} from '@verbenabeam/platform/fakes';

/** Second numbers of addresses that soaks use: 127.20 to 127.219. */
const firstNet = 20;
const netCount = 200;
/** Held by the soak that uses a net. */
const lockPort = 20_999;

/** Below the ports that Linux gives to connections. */
export const PORTS = {
  wire: 21_000,
  callers: 21_001,
  ready: 21_002,
  control: 21_003,
  upstream: 21_004,
  store: 21_005,
} as const;

/** Addresses of one soak, in a part of 127.0.0.0/8 that no other soak uses. */
export class Addresses {
  readonly #net: number;
  readonly #lock: net.Server;

  private constructor(net: number, lock: net.Server) {
    this.#net = net;
    this.#lock = lock;
  }

  static async take(): Promise<Addresses> {
    for (let i = 0; i < netCount; i++) {
      const number = firstNet + ((process.pid + i) % netCount);
      const lock = net.createServer();
      lock.listen(lockPort, `127.${number}.1.1`);
      const isFree = await once(lock, 'listening').then(
        () => true,
        () => false,
      );
      if (isFree) return new Addresses(number, lock);
    }
    throw new Error('all nets of 127.0.0.0/8 for soaks are in use');
  }

  get store(): string {
    return `127.${this.#net}.5.1`;
  }

  /** @param at - Number of the node, from 1. */
  node(at: number): string {
    return `127.${this.#net}.2.${at}`;
  }

  wireProxy(at: number): string {
    return `127.${this.#net}.3.${at}`;
  }

  upstream(at: number): string {
    return `127.${this.#net}.4.${at}`;
  }

  ports(at: number): TestPorts {
    const ip = this.node(at);
    return {
      wire: `${ip}:${PORTS.wire}`,
      callers: `${ip}:${PORTS.callers}`,
      ready: `${ip}:${PORTS.ready}`,
      control: `${ip}:${PORTS.control}`,
    };
  }

  free(): void {
    this.#lock.close();
  }
}
