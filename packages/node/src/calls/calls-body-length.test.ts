import assert from 'node:assert/strict';
import {After, Given, Then, When} from '@cucumber/cucumber';
import type {ByteStream} from '@verbenabeam/wire';
import {CALL_STREAM, encodeResponseHead, encodeCallHead} from './call-head.js';
import {TestClient, waitUntil} from './test/test-client.js';
import type {TestResponse} from './test/test-client.js';
import {TestNode} from './test/test-node.js';

const chunkBytes = 65_536;
/** The sender stops here, so that a failing test ends. */
const maxSentBytes = 64_000_000;
const limitMs = 5_000;

let client: TestClient;
let entry: TestNode;
let serving: TestNode;
let answer: TestResponse | null;
let sentBytes: number;
let isReset: boolean;

async function startNodes(): Promise<void> {
  sentBytes = 0;
  isReset = false;
  client = new TestClient();
  entry = new TestNode('entry', []);
  serving = new TestNode('far', []);
  await entry.start({});
  await serving.start({});
  entry.sendTo(serving);
}

/** Writes until the other side resets the stream. */
function sendUntilReset(stream: ByteStream): void {
  const chunk = Buffer.alloc(chunkBytes, 'x');
  const write = () => {
    while (!isReset && sentBytes < maxSentBytes) {
      sentBytes += chunkBytes;
      if (!stream.write(chunk)) return;
    }
  };
  stream.listen({
    onChunk: () => undefined,
    onEnd: () => undefined,
    onReset: () => {
      isReset = true;
    },
    onDrain: write,
  });
  write();
}

After({tags: '@calls'}, async () => {
  await Promise.all([entry, serving].filter(Boolean).map(node => node.stop()));
  await client?.close();
});

Given(
  'a data path node whose instance announces a response of {int} bytes and never stops sending',
  async (bytes: number) => {
    await startNodes();
    const headers = ['content-length', String(bytes)];
    serving.bus.onStream(CALL_STREAM, (_head, stream) => {
      stream.sendHead(encodeResponseHead({status: 200, headers}));
      sendUntilReset(stream);
    });
  },
);

When('a data path caller requests the endless response', async () => {
  answer = await client.call(entry, '/write').catch(() => null);
});

Then('the data path caller gets no complete response', () => {
  assert.equal(answer, null);
});

Given('a data path node that accepts calls from another node', startNodes);

When(
  'another node announces a data path body of {int} bytes and never stops sending',
  async (bytes: number) => {
    const head = encodeCallHead({
      callId: 'endless',
      service: 'files',
      version: 'v1',
      method: 'POST',
      path: '/write',
      remainingMs: limitMs,
      depth: 0,
      retriesLeft: 0,
      routeName: 'write',
      priority: 0,
      targetMs: limitMs,
      callerClass: '',
      bodyBytes: bytes,
      headers: [],
    });
    const opened = await entry.bus.openStream(
      serving.wireAddress,
      CALL_STREAM,
      () => head,
      {timeoutMs: limitMs},
    );
    assert.ok(opened.isOk);
    sendUntilReset(opened.value);
  },
);

Then(
  /^the endless data path (?:response|body) is reset after at most (\d+) bytes$/,
  async (most: string) => {
    await waitUntil(() => isReset, limitMs);
    assert.ok(sentBytes <= Number(most), `${sentBytes} bytes`);
  },
);
