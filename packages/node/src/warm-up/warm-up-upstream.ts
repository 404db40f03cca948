import {once} from 'node:events';
import {createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import type {WarmUpHeaders} from './warm-up-headers.js';
import {headerLines} from './header-lines.js';

/** Size of an answer; those of the services are a few kilobytes. */
const answerBytes = 2_048;
const body = 'a'.repeat(answerBytes);
const headEnd = '\r\n\r\n';

/**
 * Answers every request on its connections with fixed bytes, without a parser, so
 * that it costs little beside the node that is warmed up.
 *
 * @internal
 */
export class WarmUpUpstream {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  readonly #sample: WarmUpHeaders;
  #address = '';

  constructor(sample: WarmUpHeaders) {
    this.#sample = sample;
    this.#server = createServer(socket => this.#serve(socket));
  }

  /** `ip:port`; empty before the start. */
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
      if (bodyLeft <= 0) this.#answer(socket, callId);
    });
    // A connection that breaks off belongs to a call that was ended.
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.#sockets.delete(socket));
  }

  #answer(socket: Socket, callId: string): void {
    const headers = headerLines(this.#sample.response(callId));
    socket.write(
      `HTTP/1.1 200 OK\r\n${headers}content-length: ${answerBytes}${headEnd}${body}`,
    );
  }
}
