import assert from 'node:assert/strict';
import {once} from 'node:events';
import net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {After, Given, Then, When} from '@cucumber/cucumber';
import type {Dispatcher} from 'undici';
import {createMeteredAgent} from './metered-agent.js';

const pauseMs = 1;
const stepTimeoutMs = 20_000;
const pieceChunks = 10_000;
const oneByteChunk = '1\r\nb\r\n';
const chunkedHead = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';
const closingHead = chunkedHead.replace('\r\n', '\r\nConnection: close\r\n');
const wholeResponse = `${chunkedHead}4\r\nbody\r\n0\r\n\r\n`;

let server: net.Server | null = null;
let agent: Dispatcher | null = null;
let origin = '';
let connections = 0;
let counts: number[] = [];
let other = '';

After({tags: '@http'}, async () => {
  await agent?.destroy();
  server?.close();
  agent = server = null;
});

Given(
  /^an http upstream with (endless|\d+) chunks of one byte on (\d+) connections$/,
  async (amount: string, count: string) => {
    connections = Number(count);
    const most = amount === 'endless' ? Infinity : Number(amount);
    server = net.createServer(socket => {
      socket.on('error', () => undefined);
      socket.on('data', data => {
        if (data.includes('/whole')) socket.write(wholeResponse);
        else sendChunks(socket, most, data.includes('/close'));
      });
    });
    await once(server.listen(0, '127.0.0.1'), 'listening');
    const {port} = server.address() as net.AddressInfo;
    origin = `http://127.0.0.1:${port}`;
    agent = createMeteredAgent({
      connectTimeoutMs: 1_000,
      connections: connections + 1,
    });
  },
);

When(
  'a paced client reads them for {int} ms',
  {timeout: stepTimeoutMs},
  async (forMs: number) => {
    const signal = AbortSignal.timeout(forMs);
    counts = Array.from({length: connections}, () => 0);
    const reads = counts.map((_, i) =>
      countParts(signal, () => {
        counts[i] = (counts[i] ?? 0) + 1;
      }),
    );
    const res = await get('/whole');
    other = await res.body.text();
    assert.ok(!signal.aborted);
    await Promise.all(reads);
  },
);

Then(
  'at most {int} small parts were read, some on each connection',
  (most: number) => {
    const found = JSON.stringify(counts);
    assert.ok(
      counts.every(count => count > 0),
      found,
    );
    assert.ok(counts.reduce((sum, count) => sum + count) <= most, found);
  },
);

Then(
  'another response on a connection of the paced client is whole meanwhile',
  () => assert.equal(other, 'body'),
);

Then(
  /^a paced client that (reads at once|pauses now and then|gets a close after it) has all of them$/,
  {timeout: stepTimeoutMs},
  async (reader: string) => {
    const closes = reader === 'gets a close after it';
    const res = await get(closes ? '/close' : '/chunks');
    let bytes = 0;
    let parts = 0;
    for await (const part of res.body) {
      bytes += (part as Buffer).length;
      if (reader === 'pauses now and then' && ++parts % 1_000 === 0) {
        await sleep(pauseMs);
      }
    }
    assert.equal(bytes, 150_000);
  },
);

function get(path: string): Promise<Dispatcher.ResponseData> {
  return agent!.request({origin, path, method: 'GET', highWaterMark: 1_000});
}

/** Counts parts as the parser gives them, until the signal. */
function countParts(signal: AbortSignal, onPart: () => void): Promise<void> {
  return new Promise(resolve => {
    let controller: Dispatcher.DispatchController | null = null;
    signal.addEventListener('abort', () =>
      controller?.abort(new Error('the time is over')),
    );
    agent!.dispatch(
      {origin, path: '/chunks', method: 'GET'},
      {
        onRequestStart: started => {
          controller = started;
        },
        onResponseData: onPart,
        onResponseError: () => resolve(),
      },
    );
  });
}

/** Sends chunks as fast as they are read. */
function sendChunks(socket: net.Socket, most: number, closes: boolean): void {
  let left = most;
  const send = () => {
    while (left > 0 && !socket.destroyed) {
      const count = Math.min(left, pieceChunks);
      left -= count;
      const end = left === 0 ? '0\r\n\r\n' : '';
      const hasRoom = socket.write(oneByteChunk.repeat(count) + end);
      if (left === 0 && closes) socket.end();
      if (!hasRoom) return;
    }
  };
  socket.on('drain', send);
  socket.write(closes ? closingHead : chunkedHead);
  send();
}
