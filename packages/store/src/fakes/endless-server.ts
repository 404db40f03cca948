import {once} from 'node:events';
import {createServer} from 'node:http';
import type {ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';

const pieceBytes = 262_144;
/** Time between two pieces in ms; the tests share the processor. */
const gapMs = 2;
/** The server falls silent here, so that a failing test is bounded too. */
const mostBytes = 200_000_000;
const filler = 'x'.repeat(pieceBytes);

/** Answers every call with a JSON text that goes on until its connection ends. */
export class EndlessServer {
  address = '';
  /** Bytes of bodies that were sent. */
  bytes = 0;
  readonly #server = createServer((_req, res) => this.#send(res));

  async start(): Promise<void> {
    await once(this.#server.listen(0, '127.0.0.1'), 'listening');
    const {port} = this.#server.address() as AddressInfo;
    this.address = `127.0.0.1:${port}`;
  }

  stop(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #send(res: ServerResponse): void {
    res.writeHead(200, {'content-type': 'application/json'});
    res.write('{"result":"');
    const timer = setInterval(() => {
      if (res.writableNeedDrain || this.bytes >= mostBytes) return;
      this.bytes += pieceBytes;
      res.write(filler);
    }, gapMs);
    res.on('close', () => clearInterval(timer));
  }
}
