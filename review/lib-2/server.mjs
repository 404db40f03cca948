// Stand-in of an application server, as PROTOCOL.md describes it ("Servers" and
// "Service discovery"): one request at a time on a channel, pings to the node
// beside it, Target-Instance and liveness checks.
import http from 'node:http';
import net from 'node:net';
import {performance} from 'node:perf_hooks';
import {clearInterval, setInterval} from 'node:timers';
import {freePort} from './platform.mjs';

/** Splits what a channel brings into requests with their whole bodies. */
class RequestReader {
  #bytes = Buffer.alloc(0);
  #head = null;

  push(data) {
    this.#bytes = Buffer.concat([this.#bytes, data]);
  }

  /** The next head, whose body may be incomplete; null if there is none. */
  takeHead() {
    if (this.#head) return null;
    const end = this.#bytes.indexOf('\r\n\r\n');
    if (end < 0) return null;
    const lines = this.#bytes.toString('latin1', 0, end).split('\r\n');
    const [method, path] = lines[0].split(' ');
    const headers = {};
    for (const line of lines.slice(1)) {
      const at = line.indexOf(':');
      headers[line.slice(0, at).toLowerCase()] = line.slice(at + 1).trim();
    }
    this.#bytes = this.#bytes.subarray(end + 4);
    this.#head = {method, path, headers};
    return this.#head;
  }

  /** The body of the last head; null while it is incomplete. */
  takeBody() {
    const {headers} = this.#head;
    if (headers['transfer-encoding']) return this.#takeChunked();
    const length = Number(headers['content-length'] ?? 0);
    if (this.#bytes.length < length) return null;
    const body = this.#bytes.subarray(0, length);
    this.#bytes = this.#bytes.subarray(length);
    this.#head = null;
    return body;
  }

  #takeChunked() {
    const parts = [];
    let at = 0;
    for (;;) {
      const end = this.#bytes.indexOf('\r\n', at);
      if (end < 0) return null;
      const size = parseInt(this.#bytes.toString('latin1', at, end), 16);
      const next = end + 2 + size + 2;
      if (this.#bytes.length < next) return null;
      parts.push(this.#bytes.subarray(end + 2, end + 2 + size));
      at = next;
      if (size === 0) break;
    }
    this.#bytes = this.#bytes.subarray(at);
    this.#head = null;
    return Buffer.concat(parts);
  }
}

/** An application server beside a node. */
export class AppServer {
  sequence = 0;
  born = Date.now();
  state = 'ready';
  /** Whether it serves; liveness checks show it. */
  isHealthy = true;
  /** Called when a request arrives: {id, path, method, headers, at}. */
  onArrival = () => undefined;
  #sockets = new Set();
  #timer = null;

  /** @param work - Answers a request that runs: (request, channel) => void. */
  constructor({id, service, version = 'v1', slots = 12, work}) {
    Object.assign(this, {id, service, version, slots, work});
  }

  async start(ip, port) {
    this.server = net.createServer(socket => this.#serve(socket));
    this.port = port ?? (await freePort(ip));
    this.address = `${ip}:${this.port}`;
    await new Promise(resolve => this.server.listen(this.port, ip, resolve));
  }

  stop() {
    clearInterval(this.#timer);
    this.server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  /** Sends a ping now and then at the interval. */
  beatTo(control, everyMs) {
    this.control = control;
    const beat = () => void this.beat().catch(() => undefined);
    beat();
    this.#timer = setInterval(beat, everyMs);
  }

  stopBeats() {
    clearInterval(this.#timer);
  }

  /** Crashes: channels are reset, nothing is said. */
  crash() {
    clearInterval(this.#timer);
    this.isDown = true;
    this.server.close();
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  /** Starts again at its address: a new incarnation with a new id. */
  async startAgain(id, ip, everyMs) {
    this.id = id;
    this.sequence = 0;
    this.born = Date.now();
    this.state = 'ready';
    this.isDown = false;
    await this.start(ip, this.port);
    this.beatTo(this.control, everyMs);
  }

  beat(extra = {}) {
    const body = {
      service: this.service,
      address: this.address,
      zone: 'prg-a',
      version: this.version,
      slots: this.slots,
      state: this.state,
      cold_remaining_ms: 0,
      sequence: ++this.sequence,
      born: this.born,
      ...extra,
    };
    return this.#call('PUT', JSON.stringify(body));
  }

  leave() {
    return this.#call('DELETE', '');
  }

  #call(method, body) {
    const [host, port] = this.control.split(':');
    return new Promise((resolve, reject) => {
      const req = http.request(
        {
          host,
          port,
          method,
          path: `/instances/${this.id}`,
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
      req.on('timeout', () => req.destroy(new Error('no ack in a second')));
      req.on('error', reject);
      req.end(body);
    });
  }

  #serve(socket) {
    this.#sockets.add(socket);
    socket.on('close', () => this.#sockets.delete(socket));
    socket.on('error', () => undefined);
    const reader = new RequestReader();
    let current = null;
    const next = () => {
      for (;;) {
        if (!current) {
          const head = reader.takeHead();
          if (!head) return;
          current = {...head, id: head.headers['request-id'], runs: false};
        }
        if (current.runs) return;
        const body = reader.takeBody();
        if (!body) return;
        current.runs = true;
        current.body = body;
        this.#run(current, socket, () => {
          current = null;
          next();
        });
      }
    };
    socket.on('data', data => {
      reader.push(data);
      next();
    });
  }

  #run(request, socket, done) {
    const {path, headers, id} = request;
    const channel = new Channel(socket, this.id, request, done);
    if (path === '/healthz') {
      const ok = this.isHealthy && this.state === 'ready';
      channel.raw(
        `HTTP/1.1 ${ok ? '200 OK' : '503 Service Unavailable'}\r\n` +
          `Instance-Id: ${this.id}\r\nContent-Length: 0\r\n\r\n`,
      );
      done();
      return;
    }
    const target = headers['target-instance'];
    const at = performance.now();
    if (target !== undefined && target !== this.id) {
      channel.raw(
        'HTTP/1.1 421 Misdirected Request\r\n' +
          `Request-Id: ${id}\r\nInstance-Id: ${this.id}\r\n` +
          'Content-Length: 0\r\n\r\n',
      );
      done();
      return;
    }
    this.onArrival({...request, at});
    this.work(request, channel);
  }
}

/** One request's channel at the server. */
class Channel {
  constructor(socket, serverId, request, done) {
    Object.assign(this, {socket, serverId, request, done});
  }

  get isClosed() {
    return this.socket.destroyed;
  }

  raw(text) {
    if (!this.socket.destroyed) this.socket.write(text);
  }

  /** The usual answer: with a length; the channel stays open. */
  answer(body, status = 200) {
    const bytes = Buffer.from(body);
    this.raw(
      Buffer.concat([
        Buffer.from(
          `HTTP/1.1 ${status} ${status < 300 ? 'OK' : 'Failed'}\r\n` +
            `Request-Id: ${this.request.id}\r\n` +
            `Server-Seal: ${sealOf(this.serverId, this.request.id)}\r\n` +
            `Content-Length: ${bytes.length}\r\n\r\n`,
        ),
        bytes,
      ]),
    );
    this.done();
  }

  /** An answer without a length, which ends with its channel. */
  answerUnframed(body) {
    this.raw(
      'HTTP/1.1 200 OK\r\n' +
        `Request-Id: ${this.request.id}\r\n` +
        `Server-Seal: ${sealOf(this.serverId, this.request.id)}\r\n` +
        `Connection: close\r\n\r\n${body}`,
    );
    this.socket.end();
  }
}

/** The seal of a server for a request. */
export function sealOf(serverId, requestId) {
  return `${serverId}.${requestId}`;
}
