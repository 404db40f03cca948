import {once} from 'node:events';
import {createServer} from 'node:http';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';

/** One prepared answer. @internal */
export interface FakeAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** Answers by `METHOD path`; records the requests. @internal */
export class FakeAdminServer {
  readonly requests: {line: string; token: string; body: string}[] = [];
  readonly #server: Server;

  constructor(answers: Readonly<Record<string, FakeAnswer>>) {
    this.#server = createServer((req, res) => {
      const chunks: Buffer[] = [];
      req.on('data', (chunk: Buffer) => chunks.push(chunk));
      req.on('end', () => {
        const line = `${req.method ?? ''} ${req.url ?? ''}`;
        const body = Buffer.concat(chunks).toString('utf8');
        const token = req.headers.authorization ?? '';
        this.requests.push({line, token, body});
        const missing = {status: 404, body: {error: line}};
        const answer = answers[line] ?? missing;
        res.writeHead(answer.status, {'content-type': 'application/json'});
        res.end(JSON.stringify(answer.body));
      });
    });
  }

  /** Listens on a free port of the loopback and returns the address. */
  async start(): Promise<string> {
    this.#server.listen(0, '127.0.0.1');
    await once(this.#server, 'listening');
    const {port} = this.#server.address() as AddressInfo;
    return `http://127.0.0.1:${String(port)}`;
  }

  stop(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }
}
