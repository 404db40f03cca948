import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import type {Server} from 'node:http';
import net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {CallerConnections} from './caller-connections.js';

const settleMs = 50;
let server: Server | null = null;
let sockets: net.Socket[] = [];
let closing = 0;

After({tags: '@hosted'}, () => {
  for (const socket of sockets) socket.destroy();
  sockets = [];
  server?.close();
  server = null;
});

async function connect(): Promise<net.Socket> {
  const address = server?.address();
  assert.ok(address && typeof address === 'object');
  const socket = net.connect(address.port, '127.0.0.1');
  socket.on('error', () => undefined);
  sockets.push(socket);
  await new Promise(resolve => socket.once('connect', resolve));
  return socket;
}

async function request(socket: net.Socket): Promise<string> {
  socket.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
  const [head] = await new Promise<Buffer[]>(resolve =>
    socket.once('data', chunk => resolve([chunk])),
  );
  return String(head);
}

Given(
  'a caller server of a process with {int} descriptors',
  async (descriptors: number) => {
    const created = createServer((_req, res) => {
      if (connections.shouldCloseAfterResponse) res.shouldKeepAlive = false;
      res.end();
    });
    const connections = new CallerConnections(created, descriptors);
    server = created;
    await new Promise<void>(resolve =>
      created.listen(0, '127.0.0.1', () => resolve()),
    );
  },
);

When(
  '{int} callers connect to the caller server and send one request each',
  async (count: number) => {
    closing = 0;
    for (let i = 0; i < count; i++) {
      const head = await request(await connect());
      if (/connection: close/i.test(head)) closing++;
    }
  },
);

Then('{int} of the responses close their connection', (count: number) => {
  assert.equal(closing, count);
});

Then(
  'the caller server keeps {int} of {int} new connections open',
  async (most: number, count: number) => {
    for (const socket of sockets) socket.destroy();
    await sleep(settleMs);
    sockets = [];
    for (let i = 0; i < count; i++) await connect();
    await sleep(settleMs);
    const open = sockets.filter(socket => !socket.closed);
    assert.equal(open.length, most);
  },
);
