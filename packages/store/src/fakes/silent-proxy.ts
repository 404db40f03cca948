import {once} from 'node:events';
import net from 'node:net';
import type {AddressInfo, Socket} from 'node:net';

/** Loopback proxy whose open connections can go silent while new ones work. */
export class SilentProxy {
  readonly #server: net.Server;
  /** Both ends of each connection. */
  readonly #sockets = new Set<Socket>();
  readonly #silent = new WeakSet<Socket>();

  /** @param target - Port on the loopback address. */
  constructor(target: number) {
    this.#server = net.createServer(near => {
      const far = net.connect(target, '127.0.0.1');
      this.#pass(near, far);
      this.#pass(far, near);
    });
  }

  /** Listens and returns its port. */
  async start(): Promise<number> {
    await once(this.#server.listen(0, '127.0.0.1'), 'listening');
    return (this.#server.address() as AddressInfo).port;
  }

  /** Open connections pass nothing on any more, without a reset. */
  silence(): void {
    for (const socket of this.#sockets) this.#silent.add(socket);
  }

  stop(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #pass(from: Socket, to: Socket): void {
    this.#sockets.add(from);
    from.on('data', piece => {
      if (!this.#silent.has(from)) to.write(piece);
    });
    from.on('error', () => from.destroy());
    from.on('close', () => {
      if (!this.#silent.has(from)) to.destroy();
    });
  }
}
