import {Pool} from 'undici';
import {ResetWatch} from './reset-watch.js';

/** Most connections to the own upstream; its limit is about 120. */
const maxConnections = 100;

/** Connections to the own upstream; replaced when its address changes. */
export class UpstreamPool {
  /** Shared by the connections of all addresses. */
  readonly resets = new ResetWatch();
  #pool: Pool | null = null;
  #address = '';

  /** Returns the pool of the address. */
  get(address: string): Pool {
    if (this.#pool && this.#address === address) return this.#pool;
    void this.#pool?.close();
    this.#address = address;
    this.#pool = new Pool(`http://${address}`, {
      connect: this.resets.connector(),
      connections: maxConnections,
      pipelining: 1,
      // The entry side's deadline ends a call; undici's timers would be
      // started for each request.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    return this.#pool;
  }

  async close(): Promise<void> {
    await this.#pool?.destroy();
    this.#pool = null;
  }
}
