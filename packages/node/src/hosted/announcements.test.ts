import assert from 'node:assert/strict';
import {once} from 'node:events';
import net from 'node:net';
import type {AddressInfo, Server} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {Result} from 'true-myth';
import {createAnnouncementServer} from './listeners.js';

const chunkBytes = 65_536;
const timeoutMs = 3_000;
const chunk = `${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`;

let server: Server | null = null;
let socket: net.Socket;
let answer = '';
let sentBytes = 0;
let closed: Promise<unknown>;

After({tags: '@hosted'}, () => {
  socket?.destroy();
  server?.close();
  server = null;
});

Given(
  'an announcement listener with a limit of {int} bytes',
  async (maxBodyBytes: number) => {
    const parse = () => Result.ok(null);
    const healthIdHeader = 'instance-id';
    const format = {
      readinessPath: '/ready',
      healthIdHeader,
      maxBodyBytes,
      parse,
    };
    server = createAnnouncementServer(format, () => Result.ok(true));
    await once(server.listen(0, '127.0.0.1'), 'listening');
  },
);

When(
  'a sender sends the listener an announcement of {int} bytes',
  async (bytes: number) => {
    const {port} = server?.address() as AddressInfo;
    socket = net.connect({host: '127.0.0.1', port});
    closed = new Promise(resolve => socket.on('close', resolve));
    // The listener may close the connection with a reset.
    socket.on('error', () => undefined);
    answer = '';
    sentBytes = 0;
    const answered = new Promise(resolve => {
      socket.on('data', data => {
        answer += data.toString('latin1');
        resolve(true);
      });
    });
    const head = ['PUT /instances/a HTTP/1.1', 'Host: a'];
    head.push('Transfer-Encoding: chunked', '\r\n');
    socket.write(head.join('\r\n'));
    const send = () => {
      if (socket.destroyed) return;
      if (sentBytes >= bytes) {
        socket.write('0\r\n\r\n');
        return;
      }
      sentBytes += chunkBytes;
      if (socket.write(chunk)) setImmediate(send);
      else socket.once('drain', send);
    };
    send();
    await Promise.race([answered, closed, sleep(timeoutMs)]);
  },
);

Then(
  'the listener refuses the announcement with status {int}',
  (status: number) => {
    assert.match(answer, new RegExp(`^HTTP/1.1 ${status} `));
  },
);

Then(
  'the listener closes the connection after at most {int} bytes',
  async (most: number) => {
    const late = sleep(timeoutMs, 'late', {ref: false});
    assert.notEqual(await Promise.race([closed, late]), 'late');
    assert.ok(sentBytes <= most, `${sentBytes} bytes`);
  },
);
