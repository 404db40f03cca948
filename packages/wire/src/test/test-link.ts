import {once} from 'node:events';
import net from 'node:net';
import type {AddressInfo} from 'node:net';
import {parseAddress} from '../bus-options.js';
import {encodeFrame} from '../frame.js';
import type {Frame} from '../frame.js';

/** Passes the bytes of connections on until it is told otherwise. @internal */
export class TestLink {
  address = '';
  /** Connections that were made through the link. */
  connections = 0;
  /** Drops what both sides send, as a link that fails silently does. */
  silent = false;
  /** Time for which bytes are held, in ms. */
  delayMs = 0;
  readonly #target: string;
  readonly #clients = new Set<net.Socket>();
  readonly #server = net.createServer(socket => {
    this.#join(socket);
  });

  constructor(target: string) {
    this.#target = target;
  }

  async start(): Promise<void> {
    await once(this.#server.listen(0, '127.0.0.1'), 'listening');
    const {port} = this.#server.address() as AddressInfo;
    this.address = `127.0.0.1:${port}`;
  }

  /** Sends a frame to the client of each connection, as from the server. */
  inject(frame: Frame): void {
    for (const client of this.#clients) client.write(encodeFrame(frame));
  }

  close(): void {
    this.#server.close();
    for (const client of this.#clients) client.destroy();
  }

  #join(client: net.Socket): void {
    this.connections++;
    this.#clients.add(client);
    const server = net.connect(parseAddress(this.#target));
    this.#pass(client, server);
    this.#pass(server, client);
    client.on('close', () => this.#clients.delete(client));
  }

  #pass(from: net.Socket, to: net.Socket): void {
    from.on('data', data => {
      if (this.silent) return;
      if (this.delayMs === 0) to.write(data);
      else setTimeout(() => to.write(data), this.delayMs);
    });
    from.on('error', () => to.destroy());
    from.on('close', () => to.destroy());
  }
}
