import assert from 'node:assert/strict';
import {once} from 'node:events';
import net from 'node:net';
import type {Socket} from 'node:net';
import {After, Given, Then} from '@cucumber/cucumber';
import {HealthProbe} from './health-probe.js';
import type {UpstreamReport} from './upstream-report.js';

const id = 'i-1';
const idHeader = 'upstream-id';
const bytesPerMb = 1_000_000;
const piece = (text: string) => text.repeat(65_536 / text.length);
const head = (status: string, upstream: string) =>
  `HTTP/1.1 ${status}\r\n${idHeader}: ${upstream}\r\n`;
const noBody = 'Content-Length: 0\r\n\r\n';
const chunked = 'Transfer-Encoding: chunked\r\n\r\n';

/** Answers, each as its beginning and what is repeated, if anything. */
const answers: Readonly<Record<string, readonly [string, string]>> = {
  'its id': [head('200 OK', id) + noBody, ''],
  'its id and an endless body': [
    head('200 OK', id) + chunked,
    `400\r\n${'x'.repeat(1_024)}\r\n`,
  ],
  'its id after an early hint': [
    `HTTP/1.1 103 Early Hints\r\n\r\n${head('200 OK', id)}${noBody}`,
    '',
  ],
  'the id of another one': [head('200 OK', 'i-2') + noBody, ''],
  'an error': [head('503 Unavailable', id) + noBody, ''],
  nothing: ['', ''],
  'empty lines': ['', piece('\r\n')],
  'a reason phrase': ['HTTP/1.1 200 ', piece('x')],
  fields: ['HTTP/1.1 200 OK\r\n', piece('a: bcd\r\n')],
  'informational responses': [
    '',
    'HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(1_000),
  ],
};

let server: net.Server | null = null;
let sockets: Socket[] = [];
let bytes = 0;

After({tags: '@hosted'}, () => {
  server?.close();
  for (const socket of sockets) socket.destroy();
  server = null;
  sockets = [];
});

Given(/^a probed upstream that answers with (.+)$/, async (kind: string) => {
  const answer = answers[kind];
  assert.ok(answer, kind);
  const [begin, repeated] = answer;
  bytes = 0;
  server = net.createServer(socket => {
    sockets.push(socket);
    const send = () => {
      if (repeated === '' || socket.destroyed) return;
      bytes += repeated.length;
      // The probe runs in this process too.
      if (socket.write(repeated)) setImmediate(send);
    };
    socket.on('error', () => undefined);
    socket.on('drain', send);
    socket.once('data', () => {
      socket.write(begin);
      send();
    });
  });
  await once(server.listen(0, '127.0.0.1'), 'listening');
});

Then('its health probe finds {string}', async (expected: string) => {
  const {signal} = new AbortController();
  const healthPath = () => '/health';
  const probe = new HealthProbe({idHeader, healthPath, signal});
  const {port} = server!.address() as net.AddressInfo;
  const report: UpstreamReport = {
    id,
    service: 'shop',
    version: 'v1',
    address: `127.0.0.1:${port}`,
    slots: 1,
    isDraining: false,
    coldMs: 0,
    sequence: 1,
    bornAt: 0,
  };
  assert.equal(await probe.probe(report), expected);
});

Then('the probed upstream could send at most {int} MB', (mb: number) => {
  assert.ok(bytes <= mb * bytesPerMb, `${bytes} bytes`);
});
