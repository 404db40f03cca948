import assert from 'node:assert/strict';
import {once} from 'node:events';
import net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {After, Given, Then} from '@cucumber/cucumber';
import type {Dispatcher} from 'undici';
import {createMeteredAgent} from './metered-agent.js';
import {ResponseMeter} from './response-meter.js';

const closedWithinMs = 1_000;
const pauseMs = 1;
const longBytes = 1_000_000;
const head = 'HTTP/1.1 200 OK\r\n';
const chunkedHead = `${head}Transfer-Encoding: chunked\r\n\r\n`;
const lastChunk = '0\r\n\r\n';
const fields = (count: number) => 'a: b\r\n'.repeat(count);
const chunk = (body: string, extension = '') =>
  `${body.length.toString(16)}${extension}\r\n${body}\r\n`;
const withLength = (body: string, more = '') =>
  `${head}${more}Content-Length: ${body.length}\r\n\r\n${body}`;

const lines = 'a\n'.repeat(5_000);

/** Responses, each with its body; null if it must be given up. */
const responses: Readonly<Record<string, readonly [string, string | null]>> = {
  'a body with a length': [withLength('body'), 'body'],
  'a long body with a length': [
    withLength('x'.repeat(longBytes)),
    'x'.repeat(longBytes),
  ],
  'a body of many lines': [
    withLength('\n'.repeat(longBytes)),
    '\n'.repeat(longBytes),
  ],
  'chunks of one byte': [
    chunkedHead + chunk('x').repeat(20_000) + lastChunk,
    'x'.repeat(20_000),
  ],
  'long chunks': [
    chunkedHead + chunk('y'.repeat(100_000)).repeat(10) + lastChunk,
    'y'.repeat(longBytes),
  ],
  'chunks with short extensions': [
    chunkedHead + chunk('0123456789', ';name=value').repeat(2_000) + lastChunk,
    '0123456789'.repeat(2_000),
  ],
  'chunks and trailers': [
    `${chunkedHead}${chunk('body')}0\r\n${fields(100)}\r\n`,
    'body',
  ],
  '250 fields': [withLength('body', fields(250)), 'body'],
  'fields of 12000 bytes': [
    withLength('body', `b: ${'x'.repeat(12_000)}\r\n`),
    'body',
  ],
  '16 informational heads': [
    'HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n'.repeat(16) +
      withLength('body'),
    'body',
  ],
  'fields after informational heads': [
    'HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n'.repeat(16) +
      withLength('body', fields(200)),
    'body',
  ],
  'a head of 16000 bytes before a long body': [
    withLength('x'.repeat(longBytes), `b: ${'x'.repeat(16_000)}\r\n`),
    'x'.repeat(longBytes),
  ],
  'a body like an informational head': [
    withLength(`HTTP/1.1 103 Early Hints\r\n\r\n${fields(600)}`),
    `HTTP/1.1 103 Early Hints\r\n\r\n${fields(600)}`,
  ],
  'no body': ['HTTP/1.1 204 No Content\r\n\r\n', ''],
  '300 fields': [withLength('body', fields(300)), null],
  '300 fields after an informational head': [
    `HTTP/1.1 103 Early Hints\r\n\r\n${withLength('body', fields(300))}`,
    null,
  ],
  '3000 bytes of a reason phrase': [
    withLength('body').replace('OK', 'x'.repeat(3_000)),
    null,
  ],
  '3000 bytes of empty lines': [
    '\r\n'.repeat(1_500) + withLength('body'),
    null,
  ],
  '24000 bytes of a trailer': [
    `${chunkedHead}${chunk('body')}0\r\nb: ${'x'.repeat(24_000)}\r\n\r\n`,
    null,
  ],
  '24000 zeros of a chunk size': [
    `${chunkedHead}${'0'.repeat(24_000)}4\r\nbody\r\n${lastChunk}`,
    null,
  ],
  '300 fields in a trailer': [
    `${chunkedHead}${chunk('x'.repeat(5_000))}0\r\n${fields(2_000)}\r\n`,
    null,
  ],
  '40000 bytes of empty lines': [
    '\r\n'.repeat(20_000) + withLength('body'),
    null,
  ],
  '40000 zeros of a chunk size': [
    `${chunkedHead}${'0'.repeat(40_000)}4\r\nbody\r\n${lastChunk}`,
    null,
  ],
  '40000 bytes of an extension': [
    chunkedHead + chunk('body', `;x=${'y'.repeat(40_000)}`) + lastChunk,
    null,
  ],
};

let server: net.Server | null = null;
let agent: Dispatcher | null = null;
let origin = '';
let expected: string | null = null;
let connections = 0;
let open = 0;

After({tags: '@http'}, async () => {
  await agent?.destroy();
  server?.close();
  agent = server = null;
});

Given(/^an http server that answers with (.+)$/, async (kind: string) => {
  const response = responses[kind];
  assert.ok(response, kind);
  const [text, body] = response;
  expected = body;
  connections = open = 0;
  server = net.createServer(socket => {
    connections++;
    open++;
    socket.on('error', () => undefined);
    socket.on('close', () => open--);
    socket.on('data', () => socket.write(text));
  });
  await once(server.listen(0, '127.0.0.1'), 'listening');
  const {port} = server.address() as net.AddressInfo;
  origin = `http://127.0.0.1:${port}`;
  agent = createMeteredAgent({connectTimeoutMs: 1_000, connections: 1});
});

Then(
  '{int} metered requests on a connection are answered whole',
  async (count: number) => {
    for (let i = 0; i < count; i++) {
      const res = await agent!.request({origin, path: '/', method: 'GET'});
      const body = await res.body.text();
      assert.equal(body.length, expected?.length);
      assert.ok(body === expected);
    }
    assert.equal(connections, 1);
  },
);

Then(
  'a metered request that pauses after each part is answered whole',
  async () => {
    const res = await agent!.request({origin, path: '/', method: 'GET'});
    let body = '';
    for await (const part of res.body) {
      body += String(part);
      await sleep(pauseMs);
    }
    assert.ok(body === expected, `${body.length} bytes`);
  },
);

Then('a metered request fails and its connection is closed', async () => {
  await assert.rejects(async () => {
    const res = await agent!.request({origin, path: '/', method: 'GET'});
    await res.body.text();
  });
  const deadline = performance.now() + closedWithinMs;
  while (open > 0 && performance.now() < deadline) await sleep(pauseMs);
  assert.equal(open, 0);
});

/** Sends the second half of the body of lines. */
let sendRest: () => void = () => undefined;
let readRest: () => Promise<string> = () => Promise.resolve('');

Given(
  'an http client with two connections, a paused response on one, half of a body of lines on the other',
  async () => {
    open = 0;
    server = net.createServer(socket => {
      socket.on('error', () => undefined);
      socket.on('data', data => {
        const path = data.toString('latin1').split(' ')[1];
        if (path === '/fields') socket.write(withLength('body', fields(300)));
        else if (path === '/body') socket.write(withLength('body'));
        else {
          socket.write(`${head}Content-Length: ${2 * lines.length}\r\n\r\n`);
          socket.write(lines);
          sendRest = () => socket.write(lines);
        }
      });
    });
    await once(server.listen(0, '127.0.0.1'), 'listening');
    const {port} = server.address() as net.AddressInfo;
    origin = `http://127.0.0.1:${port}`;
    agent = createMeteredAgent({connectTimeoutMs: 1_000, connections: 2});
    const get = (path: string) =>
      agent!.request({origin, path, method: 'GET', highWaterMark: 1});
    const paused = await get('/body');
    const res = await get('/lines');
    const parts = (res.body as AsyncIterable<Buffer>)[Symbol.asyncIterator]();
    let body = '';
    while (body.length < lines.length) {
      body += String((await parts.next()).value);
    }
    readRest = async () => {
      for (;;) {
        const {value, done} = await parts.next();
        if (done) return body;
        body += String(value);
      }
    };
    assert.equal(await paused.body.text(), 'body');
  },
);

Then('the body of lines is read whole', async () => {
  sendRest();
  assert.ok((await readRest()) === lines + lines);
});

Then('300 fields on the connection that was paused are given up', async () => {
  await assert.rejects(async () => {
    const res = await agent!.request({origin, path: '/fields', method: 'GET'});
    await res.body.text();
  }, /fields/);
});

let trailerBytes = 0;

Given(
  /^a response meter whose next piece is a trailer of 500 fields (in the piece of a head|in a piece of its own)$/,
  (place: string) => {
    const meter = new ResponseMeter();
    const trailer = Buffer.from(fields(500));
    const begin = Buffer.from(chunkedHead);
    if (place === 'in the piece of a head') {
      const piece = Buffer.concat([begin, trailer]);
      trailerBytes = meter.onPiece(piece) - begin.length;
    } else {
      assert.equal(meter.onPiece(begin), begin.length);
      meter.onHead(true);
      trailerBytes = meter.onPiece(trailer);
    }
  },
);

Then(
  'the response meter lets the parser have {int} of those fields',
  (count: number) => assert.equal(trailerBytes, fields(count).length),
);

let meter = new ResponseMeter();
let piece = Buffer.alloc(0);

Given(
  'a response meter whose next piece is a response with a body of {int} bytes',
  (bytes: number) => {
    meter = new ResponseMeter();
    piece = Buffer.from(withLength('x'.repeat(bytes)));
  },
);

Then(
  'the response meter lets the parser have that response in one piece',
  () => {
    const first = piece.subarray(0, meter.pieceBytes);
    assert.equal(meter.onPiece(first), piece.length);
  },
);
