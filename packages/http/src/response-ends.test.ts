import assert from 'node:assert/strict';
import {once} from 'node:events';
import net from 'node:net';
import {After, Given, Then, When} from '@cucumber/cucumber';
import type {Dispatcher} from 'undici';
import {createMeteredAgent} from './metered-agent.js';

const connectTimeoutMs = 1_000;
const pauseMs = 5;
const part = 'x'.repeat(200);
const head = 'HTTP/1.1 200 OK\r\n';

/** Parts of responses; those of known framing lack the rest. */
const parts: Readonly<Record<string, string>> = {
  'no length': `${head}Connection: close\r\n\r\n${part}`,
  chunks: `${head}Connection: close\r\nTransfer-Encoding: chunked\r\n\r\nc8\r\n${part}\r\n`,
  'a length': `${head}Content-Length: 1000\r\n\r\n${part}`,
};

/** What the server does once the system has the part. */
const ends: Readonly<Record<string, (socket: net.Socket) => void>> = {
  'a reset at once': socket => void socket.resetAndDestroy(),
  'a reset after 5 ms': socket =>
    void setTimeout(() => socket.resetAndDestroy(), pauseMs),
  'an ordinary end': socket => void socket.end(),
};

let server: net.Server | null = null;
let agent: Dispatcher | null = null;
let origin = '';
let bodies: (string | null)[] = [];

After({tags: '@http'}, async () => {
  await agent?.destroy();
  server?.close();
  agent = server = null;
});

Given(
  /^an http server whose responses with (.+) end by (.+)$/,
  async (framing: string, end: string) => {
    const [text, finish] = [parts[framing], ends[end]];
    assert.ok(text && finish, `${framing}, ${end}`);
    server = net.createServer(socket => {
      socket.on('error', () => undefined);
      socket.once('data', () => socket.write(text, () => finish(socket)));
    });
    await once(server.listen(0, '127.0.0.1'), 'listening');
    const {port} = server.address() as net.AddressInfo;
    origin = `http://127.0.0.1:${port}`;
    agent = createMeteredAgent({connectTimeoutMs});
  },
);

When(
  '{int} metered requests are sent to it one after the other',
  async (count: number) => {
    bodies = [];
    for (let i = 0; i < count; i++) {
      bodies.push(await bodyOrNull());
    }
  },
);

Then('no metered request got a complete response', () => {
  assert.ok(bodies.length > 0);
  assert.ok(
    bodies.every(body => body === null),
    `${JSON.stringify(bodies)}`,
  );
});

Then('each metered request got a complete response', () => {
  assert.ok(bodies.length > 0);
  assert.ok(bodies.every(body => body === part));
});

/** Null if the response was not complete. */
async function bodyOrNull(): Promise<string | null> {
  try {
    const res = await agent!.request({origin, path: '/', method: 'GET'});
    return await res.body.text();
  } catch (err) {
    assert.ok(err instanceof Error);
    return null;
  }
}
