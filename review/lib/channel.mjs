/** A consumer's kept channel; requests may be sent ahead of answers. */
import net from 'node:net';
import {performance} from 'node:perf_hooks';

export class Channel {
  /** Requests in order of sending. */
  sent = [];
  closedAt = null;
  /** How the channel ended: `fin` or an error code. */
  closedBy = null;
  #socket;
  #buffer = Buffer.alloc(0);
  #closing = false;

  constructor(address) {
    const [host, port] = address.split(':');
    this.#socket = net.connect({host, port: Number(port), noDelay: true});
    this.#socket.on('data', chunk => this.#onData(chunk));
    this.#socket.on('error', err => (this.closedBy ??= err.code));
    this.#socket.on('end', () => (this.closedBy ??= 'fin'));
    this.#socket.on('close', () => {
      this.closedAt = performance.now();
      this.#endUnframed();
      for (const row of this.sent) {
        if (row.answeredAt !== null) continue;
        row.end = 'channel closed without an answer';
        row.closedAt = this.closedAt;
        row.resolve(row);
      }
    });
  }

  get isOpen() {
    return this.closedAt === null && !this.#closing;
  }

  /** Requests that have no answer yet. */
  get waiting() {
    return this.sent.filter(({answeredAt}) => answeredAt === null).length;
  }

  send({id, host, path, method = 'GET', body = '', deadlineMs}) {
    const head = [
      `${method} ${path} HTTP/1.1`,
      `Host: ${host}`,
      `Request-Id: ${id}`,
      `Deadline-Ms: ${deadlineMs}`,
    ];
    if (method !== 'GET') head.push(`Content-Length: ${body.length}`);
    const row = {
      id,
      path,
      deadlineMs,
      sentAt: performance.now(),
      answeredAt: null,
      status: 0,
      body: '',
      end: null,
    };
    row.done = new Promise(resolve => (row.resolve = resolve));
    this.sent.push(row);
    this.#socket.write(`${head.join('\r\n')}\r\n\r\n${body}`);
    return row;
  }

  close() {
    this.#closing = true;
    this.#socket.destroy();
  }

  #onData(chunk) {
    this.#buffer = Buffer.concat([this.#buffer, chunk]);
    for (;;) {
      const head = this.#readHead();
      if (!head) return;
      const {headers, bodyAt} = head;
      if (headers.get('connection') === 'close') this.#closing = true;
      const length = headers.get('content-length');
      // An answer without a length ends with its channel.
      if (length === undefined) return;
      const end = bodyAt + Number(length);
      if (this.#buffer.length < end) return;
      this.#answer(head, end);
    }
  }

  /** An answer without a length is complete if its channel was not reset. */
  #endUnframed() {
    const head = this.#readHead();
    if (!head || this.closedBy !== 'fin') return;
    const {headers} = head;
    const isFramed =
      headers.has('content-length') || headers.has('transfer-encoding');
    if (!isFramed) this.#answer(head, this.#buffer.length);
  }

  #answer({status, headers, bodyAt}, end) {
    const row = this.sent.find(({answeredAt}) => answeredAt === null);
    if (row) {
      row.answeredAt = performance.now();
      row.status = status;
      row.headers = headers;
      row.body = this.#buffer.toString('utf8', bodyAt, end);
      row.end = `answered ${status}`;
      row.resolve(row);
    }
    this.#buffer = this.#buffer.subarray(end);
  }

  #readHead() {
    const headEnd = this.#buffer.indexOf('\r\n\r\n');
    if (headEnd < 0) return null;
    const [first, ...lines] = this.#buffer
      .toString('latin1', 0, headEnd)
      .split('\r\n');
    const headers = new Map(
      lines.map(line => {
        const colon = line.indexOf(':');
        const name = line.slice(0, colon).toLowerCase();
        return [name, line.slice(colon + 1).trim()];
      }),
    );
    return {status: Number(first.split(' ')[1]), headers, bodyAt: headEnd + 4};
  }
}
