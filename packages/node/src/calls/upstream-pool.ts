import {ResponseSockets} from '@verbenabeam/http';
import {Pool} from 'undici';

/** Most connections to the upstream, whose limit is about 120. */
const maxConnections = 100;

/** Connection pool of the upstream; replaced when its address changes. */
export class UpstreamPool {
  /** The connections to all addresses. */
  readonly sockets = new ResponseSockets();
  #pool: Pool | null = null;
  #address = '';

  /** Returns the pool for an address, which replaces the pool of another one. */
  get(address: string): Pool {
    if (this.#pool && this.#address === address) return this.#pool;
    void this.#pool?.close();
    this.#address = address;
    this.#pool = new Pool(`http://${address}`, {
      connect: this.sockets.connector(),
      connections: maxConnections,
      pipelining: 1,
      // The entry node ends a call at its deadline, so undici's timers, which
      // it would start for each request, are off.
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
