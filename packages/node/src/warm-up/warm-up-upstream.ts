import {once} from 'node:events';
import {createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import type {WarmUpHeaders} from './warm-up-sample.js';
import {headerLines} from './header-lines.js';

/** Response size; services answer with a few kilobytes. */
const responseBodyBytes = 2_048;
const body = 'a'.repeat(responseBodyBytes);
const headEnd = '\r\n\r\n';

/**
 * Stub upstream that answers every request with a fixed body, without an HTTP
 * parser, so that little CPU time is taken from the node that warms up.
 *
 * @internal
 */
export class WarmUpUpstream {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  readonly #headers: WarmUpHeaders;
  #address = '';

  constructor(headers: WarmUpHeaders) {
    this.#headers = headers;
    this.#server = createServer(socket => this.#serve(socket));
  }

  /** `ip:port`; empty before `start`. */
  get address(): string {
    return this.#address;
  }

  async start(): Promise<void> {
    await once(this.#server.listen(0, '127.0.0.1'), 'listening');
    const {port} = this.#server.address() as AddressInfo;
    this.#address = `127.0.0.1:${port}`;
  }

  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #serve(socket: Socket): void {
    this.#sockets.add(socket);
    let head = '';
    let bodyLeft = 0;
    let callId = '';
    socket.on('data', data => {
      if (bodyLeft > 0) bodyLeft -= data.length;
      else {
        head += data.toString('latin1');
        const end = head.indexOf(headEnd);
        if (end < 0) return;
        callId = /^\S+ \/[^/]*\/(\S+)/.exec(head)?.[1] ?? '';
        const length = /content-length: *(\d+)/i.exec(head)?.[1] ?? '0';
        bodyLeft = Number(length) - (head.length - end - headEnd.length);
        head = '';
      }
      if (bodyLeft <= 0) this.#respond(socket, callId);
    });
    // A connection error means that the node ended the call.
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.#sockets.delete(socket));
  }

  #respond(socket: Socket, callId: string): void {
    const lines = headerLines(this.#headers.response(callId));
    socket.write(
      `HTTP/1.1 200 OK\r\n${lines}content-length: ${responseBodyBytes}${headEnd}${body}`,
    );
  }
}
