import assert from 'node:assert/strict';
import {once} from 'node:events';
import net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {After, Given, Then, When} from '@cucumber/cucumber';
import type {CallHead} from './call-head.js';
import {nativeProtocol} from './native-protocol.js';
import {UpstreamPool} from './upstream-pool.js';
import {UpstreamRequest} from './upstream-request.js';

const stepTimeoutMs = 60_000;
const resultWithinMs = 5_000;
const remainingMs = 30_000;
const head: CallHead = {
  callId: 'c-1',
  service: 'shop',
  version: 'v1',
  routeName: 'all',
  method: 'GET',
  path: '/',
  depth: 0,
  remainingMs,
  retriesLeft: 0,
  priority: 0,
  targetMs: remainingMs,
  callerClass: '',
  bodyBytes: 0,
  headers: [],
};

/** Fields of the head by framing; the body may be shorter. */
const framings: Readonly<Record<string, (bytes: number) => string>> = {
  'no length': () => 'Connection: close\r\n',
  'a length and a close': bytes =>
    `Connection: close\r\nContent-Length: ${bytes}\r\n`,
  'a longer length and a close': bytes =>
    `Connection: close\r\nContent-Length: ${2 * bytes}\r\n`,
  'a longer length': bytes => `Content-Length: ${2 * bytes}\r\n`,
};
const ends: Readonly<Record<string, (socket: net.Socket) => void>> = {
  ends: socket => void socket.end(),
  resets: socket => void socket.resetAndDestroy(),
};

let server: net.Server | null = null;
let address = '';
let bodyBytes = 0;
let results: string[] = [];

After({tags: '@calls'}, () => {
  server?.close();
  server = null;
});

Given(
  /^an upstream that sends (\d+) bytes with (.+) and then (ends|resets)$/,
  async (bytes: string, framing: string, end: string) => {
    bodyBytes = Number(bytes);
    const fields = framings[framing]?.(bodyBytes);
    const finish = ends[end];
    assert.ok(fields && finish, framing);
    const text = `HTTP/1.1 200 OK\r\n${fields}\r\n${'x'.repeat(bodyBytes)}`;
    server = net.createServer(socket => {
      socket.on('error', () => undefined);
      socket.once('data', () => socket.write(text, () => finish(socket)));
    });
    await once(server.listen(0, '127.0.0.1'), 'listening');
    const {port} = server.address() as net.AddressInfo;
    address = `127.0.0.1:${port}`;
  },
);

When(
  '{int} upstream requests read its responses with pauses of {int} ms',
  {timeout: stepTimeoutMs},
  async (count: number, pauseMs: number) => {
    results = [];
    for (let i = 0; i < count; i++) results.push(await readSlowly(pauseMs));
  },
);

Then('each upstream request has the result {string}', (allowed: string) => {
  assert.ok(results.length > 0);
  const allowedResults = allowed.split(', ');
  assert.ok(
    results.every(result => allowedResults.includes(result)),
    results.join(', '),
  );
});

/** How a request ended whose response is paused after each part. */
async function readSlowly(pauseMs: number): Promise<string> {
  const pool = new UpstreamPool();
  let bytes = 0;
  const result = new Promise<string>(resolve => {
    const request: UpstreamRequest = new UpstreamRequest(
      head,
      nativeProtocol,
      {
        onUpstreamConnected: () => true,
        onUpstreamHead: () => undefined,
        onUpstreamData: part => {
          bytes += part.length;
          setTimeout(() => request.resume(), pauseMs);
          return false;
        },
        onUpstreamEnd: () => {
          resolve(bytes === bodyBytes ? 'whole' : `${bytes} bytes`);
        },
        onUpstreamNotRun: () => resolve('not run'),
        onUpstreamError: () => resolve('lost'),
      },
      pool.sockets,
    );
    const upstream = {id: 'i-1', address} as never;
    request.dispatch(pool.get(address), upstream, null, remainingMs);
  });
  const none = sleep(resultWithinMs).then(() => 'none');
  const found = await Promise.race([result, none]);
  await pool.close();
  return found;
}
