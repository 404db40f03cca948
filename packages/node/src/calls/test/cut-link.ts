import {once} from 'node:events';
import net from 'node:net';
import type {AddressInfo} from 'node:net';

/**
 * Relays connections to an address until it ends as a killed process does: it
 * stops at once, and its connections are closed some time after.
 */
export class CutLink {
  readonly #server = net.createServer();
  readonly #sockets = new Set<net.Socket>();
  #stopped = false;
  #cut = false;

  /** Starts to relay; returns the address to connect to. */
  async start(address: string): Promise<string> {
    const [host, port] = address.split(':');
    this.#server.on('connection', socket => {
      const onward = net.connect({host, port: Number(port)});
      this.#join(socket, onward);
      this.#join(onward, socket);
    });
    await once(this.#server.listen(0, '127.0.0.1'), 'listening');
    const own = this.#server.address() as AddressInfo;
    return `127.0.0.1:${own.port}`;
  }

  /** Passes nothing on any more. */
  stop(): void {
    this.#stopped = true;
  }

  /** Ends all connections without a word and refuses new ones. */
  cut(): void {
    if (this.#cut) return;
    this.#cut = true;
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #join(from: net.Socket, to: net.Socket): void {
    this.#sockets.add(from);
    from.setNoDelay(true);
    from.on('data', data => {
      if (!this.#stopped) to.write(data);
    });
    // The other end sees the connection closed.
    from.on('error', () => to.destroy());
    from.on('close', () => to.destroy());
  }
}
