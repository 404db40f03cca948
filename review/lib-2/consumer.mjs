// Stand-in of a consumer: raw channels, so that what is read is what was sent.
import {randomBytes} from 'node:crypto';
import net from 'node:net';
import {performance} from 'node:perf_hooks';
import {HOST} from './platform.mjs';

/** A new id of a consumer attempt. */
export const newRequestId = () => randomBytes(8).toString('hex');

/** A channel of a consumer; answers are matched to requests in order. */
export class ConsumerChannel {
  closedAt = null;
  endedBy = null;
  #bytes = Buffer.alloc(0);
  #waiting = [];
  #onClosed = [];

  constructor(address) {
    const [host, port] = address.split(':');
    this.socket = net.connect({host, port: Number(port)});
    this.socket.setNoDelay(true);
    this.socket.on('data', data => {
      this.#bytes = Buffer.concat([this.#bytes, data]);
      this.#read();
    });
    this.socket.on('error', err => {
      this.endedBy ??= err.code;
    });
    this.socket.on('end', () => {
      this.endedBy ??= 'end';
      this.#read(true);
    });
    this.socket.on('close', () => {
      this.closedAt = performance.now();
      for (const entry of this.#waiting.splice(0)) {
        entry.resolve({...entry.sent, status: 0, endedBy: this.endedBy});
      }
      for (const callback of this.#onClosed) callback();
    });
  }

  get isClosed() {
    return this.closedAt !== null || this.socket.destroyed;
  }

  /** Sends a request; resolves with its answer, or with status 0 without one. */
  send({path, method = 'GET', id = newRequestId(), deadlineMs, body, headers}) {
    const lines = [
      `${method} ${path} HTTP/1.1`,
      `Host: ${HOST}`,
      `Request-Id: ${id}`,
      `Deadline-Ms: ${deadlineMs ?? 1_500}`,
      ...(headers ?? []),
      ...(body ? [`Content-Length: ${body.length}`] : []),
    ];
    const head = Buffer.from(`${lines.join('\r\n')}\r\n\r\n`);
    const sent = {id, path, method, sentAt: performance.now()};
    return new Promise(resolve => {
      this.#waiting.push({sent, resolve});
      this.socket.write(body ? Buffer.concat([head, body]) : head);
    });
  }

  close() {
    this.socket.destroy();
  }

  #read(isEnded = false) {
    while (this.#waiting.length > 0) {
      const end = this.#bytes.indexOf('\r\n\r\n');
      if (end < 0) return;
      const head = this.#bytes.toString('latin1', 0, end);
      const status = Number(head.split(' ')[1]);
      const length = /^content-length: *(\d+)/im.exec(head)?.[1];
      const isChunked = /^transfer-encoding: *chunked/im.test(head);
      let body;
      let next;
      if (length !== undefined) {
        next = end + 4 + Number(length);
        if (this.#bytes.length < next) return;
        body = this.#bytes.subarray(end + 4, next);
      } else if (isChunked) {
        const last = this.#bytes.indexOf('0\r\n\r\n', end + 4);
        if (last < 0) return;
        next = last + 5;
        body = this.#bytes.subarray(end + 4, next);
      } else {
        if (!isEnded) return;
        next = this.#bytes.length;
        body = this.#bytes.subarray(end + 4);
      }
      this.#bytes = this.#bytes.subarray(next);
      const {sent, resolve} = this.#waiting.shift();
      const closes = /^connection: *close/im.test(head);
      resolve({
        ...sent,
        status,
        head,
        body: body.toString('latin1'),
        answeredAt: performance.now(),
        closes,
      });
    }
  }
}
