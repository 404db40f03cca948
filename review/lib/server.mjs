/** Stand-in of an application server, as PROTOCOL.md describes it. */
import {createServer, request} from 'node:http';
import {once} from 'node:events';
import {performance} from 'node:perf_hooks';
import {clearInterval, setInterval} from 'node:timers';

const healthPath = '/healthz';
const heartbeatMs = 1_500;
const queueLength = 44;
const idleMs = 10_000;

export class AppServer {
  /** Each arrival: id, service, version, path, caller, times, how it ended. */
  arrivals = [];
  state = 'ready';
  #running = 0;
  #queue = [];
  #sequence = 0;
  #timer = null;
  #server;

  /**
   * @param options - `workMs(path)`: time of a run; `unframed(path)`: whether
   *   the answer has no length and ends with its channel; `partMs(path)`: time
   *   between the halves of such an answer; `spoils(path)`: whether the answer's
   *   status line is spoiled.
   */
  constructor({id, service, version = 'v1', zone, slots = 11, ...options}) {
    Object.assign(this, {id, service, version, zone, slots, options});
    this.born = Date.now();
  }

  async start(host, port, control) {
    this.address = `${host}:${port}`;
    this.control = control;
    this.#server = createServer((req, res) => void this.#handle(req, res));
    this.#server.keepAliveTimeout = idleMs;
    await once(this.#server.listen(port, host), 'listening');
    this.#timer = setInterval(() => void this.beat(), heartbeatMs);
  }

  stop() {
    clearInterval(this.#timer);
    this.#server?.close();
    this.#server?.closeAllConnections();
  }

  /** Sends a heartbeat; resolves with the status, 0 without an answer. */
  beat() {
    const body = JSON.stringify({
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: this.version,
      slots: this.slots,
      state: this.state,
      cold_remaining_ms: 0,
      sequence: ++this.#sequence,
      born: this.born,
    });
    return new Promise(resolve => {
      const req = request(
        `http://${this.control}/instances/${this.id}`,
        {
          method: 'PUT',
          agent: false,
          timeout: 1_000,
          headers: {
            'content-type': 'application/json',
            'content-length': Buffer.byteLength(body),
          },
        },
        res => {
          res.resume();
          res.on('end', () => resolve(res.statusCode));
        },
      );
      req.on('timeout', () => req.destroy());
      req.on('error', () => resolve(0));
      req.end(body);
    });
  }

  async #handle(req, res) {
    const {headers, url} = req;
    if (url === healthPath) {
      const status = this.state === 'ready' ? 200 : 503;
      res.writeHead(status, {'instance-id': this.id, 'content-length': 0});
      res.end();
      return;
    }
    const id = headers['request-id'];
    const target = headers['target-instance'];
    const chunks = [];
    try {
      for await (const chunk of req) chunks.push(chunk);
    } catch {
      return;
    }
    if (target !== undefined && target !== this.id) {
      this.#refuse(res, id, 421);
      return;
    }
    const row = {
      id,
      at: performance.now(),
      service: this.service,
      server: this.id,
      path: url,
      caller: headers['caller-service'],
      deadlineMs: Number(headers['deadline-ms']),
      bodyBytes: Buffer.concat(chunks).length,
      runAt: null,
      end: null,
    };
    this.arrivals.push(row);
    if (this.#running >= this.slots) {
      if (this.#queue.length >= queueLength) {
        row.end = 'refused';
        this.#refuse(res, id, 503);
        return;
      }
      await new Promise(resolve => this.#queue.push(resolve));
      if (res.destroyed) {
        row.end = 'dropped in the queue';
        this.#queue.shift()?.();
        return;
      }
    }
    this.#running++;
    row.runAt = performance.now();
    const workMs = this.options.workMs?.(url) ?? 20;
    const gone = new AbortController();
    res.on('close', () => gone.abort());
    await new Promise(resolve => {
      const timer = setTimeout(resolve, workMs);
      gone.signal.addEventListener('abort', () => {
        clearTimeout(timer);
        resolve();
      });
    });
    this.#running--;
    this.#queue.shift()?.();
    row.endAt = performance.now();
    if (res.destroyed) {
      row.end = 'cut by its caller';
      return;
    }
    row.end = 'answered';
    const body = `answer of ${this.service} ${this.id} to ${id}`;
    row.body = body;
    if (this.options.spoils?.(url)) {
      res.socket.write(
        `HTTP/1.1 000 OK\r\nRequest-Id: ${id}\r\nContent-Length: 0\r\n\r\n`,
      );
      return;
    }
    if (this.options.unframed?.(url)) {
      const head = [
        'HTTP/1.1 200 OK',
        `Request-Id: ${id}`,
        `Server-Seal: seal.${this.id}`,
        'Content-Type: text/plain',
        'Connection: close',
      ];
      const half = Math.floor(body.length / 2);
      const {socket} = res;
      socket.write(`${head.join('\r\n')}\r\n\r\n${body.slice(0, half)}`);
      setTimeout(
        () => socket.end(body.slice(half)),
        this.options.partMs?.(url) ?? 0,
      );
      return;
    }
    res.writeHead(200, {
      'request-id': id,
      'server-seal': `seal.${this.id}`,
      'content-type': 'text/plain',
      'content-length': Buffer.byteLength(body),
    });
    res.end(body);
  }

  #refuse(res, id, status) {
    res.writeHead(status, {
      'request-id': id,
      'not-executed': '1',
      'content-length': 0,
    });
    res.end();
  }
}
