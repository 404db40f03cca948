import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {Result} from 'true-myth';
import {MeshError, WIRE_CODES} from '@verbenabeam/core';
import {testTls} from '@verbenabeam/testing';
import type {ByteStream} from './peer-bus.js';
import type {TcpPeerBusOptions, WireTls} from './bus-options.js';
import {TcpPeerBus} from './tcp-peer-bus.js';
import {RawPeer} from './test/test-peers.js';

const nodeKey = Buffer.from('a node key for the tests');
const timeoutMs = 3000;
const options = {timeoutMs};
type Outcome = Result<unknown, MeshError>;

/** State of one scenario. */
let client: TcpPeerBus;
let server: TcpPeerBus;
let address: string;
let runs: number;
let release: () => void;
let held: Promise<Outcome>;
let outcome: Outcome;
let outcomes: Outcome[];
let rawPeer: RawPeer;
let resetCode: Promise<string>;
let sent: ByteStream;
let slow: {
  stream: ByteStream;
  whole: Promise<void>;
  received: () => number;
  reset: () => string;
};

async function startBuses(extra: Partial<TcpPeerBusOptions>): Promise<void> {
  client = new TcpPeerBus({nodeId: 'client', nodeKey, ...extra});
  server = new TcpPeerBus({nodeId: 'server', nodeKey, ...extra});
  runs = 0;
  const gate = new Promise<void>(resolve => (release = resolve));
  server.onRequest('hold', () => gate.then(() => Result.ok('held')));
  server.onRequest('echo', body => {
    runs++;
    return Result.ok(body);
  });
  server.onStream('sink', (_head, stream) => {
    const size = {received: 0};
    stream.listen({
      onChunk: chunk => (size.received += chunk.length),
      onEnd: () => {
        stream.end(size.received);
      },
      onReset: () => undefined,
    });
  });
  server.onStream('unread', (_head, stream) => {
    let received = 0;
    let done: () => void;
    const whole = new Promise<void>(resolve => (done = resolve));
    let reset = '';
    slow = {stream, whole, received: () => received, reset: () => reset};
    stream.pause();
    stream.listen({
      onChunk: chunk => (received += chunk.length),
      onEnd: () => {
        done();
      },
      onReset: err => (reset = err.code.name),
    });
  });
  const started = await server.start('127.0.0.1:0');
  address = started.unwrapOr('');
  assert.notEqual(address, '');
}

/** Sends bytes as one stream; resolves to the size that the peer counted. */
async function sendStream(kind: string, size: number): Promise<unknown> {
  const opened = await client.openStream(address, kind, () => null, options);
  if (opened.isErr) throw opened.error;
  const stream = opened.value;
  return new Promise((resolve, reject) => {
    stream.listen({
      onChunk: () => undefined,
      onEnd: resolve,
      onReset: reject,
    });
    stream.write(Buffer.alloc(size, 'x'));
    stream.end();
  });
}

function codeOf(result: Outcome): string {
  return result.isErr ? result.error.code.name : 'ok';
}

After({tags: '@wire and not @wire-links and not @frame-reader'}, async () => {
  release();
  await Promise.all([client.close(), server.close()]);
});

Given('two wire buses with one node key', () => startBuses({}));

Given('two wire buses with TLS', async () => {
  await Promise.all([client.close(), server.close()]);
  await startBuses({tls: {...testTls, ca: testTls.cert}});
});

Given('a wire request that waits for its response', async () => {
  held = client.request(address, 'hold', null, options);
  await client.request(address, 'echo', 1, options);
});

Given('a wire stream in both directions', async () => {
  const opened = await client.openStream(
    address,
    'unread',
    () => null,
    options,
  );
  assert.ok(opened.isOk);
  const stream = opened.value;
  sent = stream;
  resetCode = new Promise(resolve => {
    stream.listen({
      onChunk: () => undefined,
      onEnd: () => {
        resolve('end');
      },
      onReset: err => {
        resolve(err.code.name);
      },
    });
  });
  await client.request(address, 'echo', 1, options);
});

When(
  '{int} wire requests are answered in reverse order',
  async (count: number) => {
    server.onRequest('reverse', async body => {
      await sleep(count - Number(body));
      return Result.ok({own: body});
    });
    outcomes = await Promise.all(
      Array.from({length: count}, (_, i) =>
        client.request(address, 'reverse', i, options),
      ),
    );
  },
);

Then('each wire request has its own response', () => {
  outcomes.forEach((result, i) => {
    assert.deepEqual(result, Result.ok({own: i}));
  });
});

When('another authenticated wire peer sends a frame of garbage', async () => {
  rawPeer = new RawPeer(address);
  await rawPeer.authenticate(nodeKey);
  rawPeer.socket.write(Buffer.from([0, 0, 0, 3, 0xff, 0xff, 0xff]));
});

When(
  'another authenticated wire peer announces a frame of {int} bytes',
  async (size: number) => {
    rawPeer = new RawPeer(address);
    await rawPeer.authenticate(nodeKey);
    const header = Buffer.alloc(4);
    header.writeUInt32BE(size);
    rawPeer.socket.write(header);
  },
);

When(
  "a wire peer without the key sends the challenge's proof back",
  async () => {
    rawPeer = new RawPeer(address);
    await rawPeer.replayProof();
  },
);

Then('that wire peer is disconnected', async () => {
  const late = sleep(timeoutMs, 'late', {ref: false});
  assert.notEqual(await Promise.race([rawPeer.closed, late]), 'late');
});

Then('the waiting wire request still gets its response', async () => {
  release();
  assert.deepEqual(await held, Result.ok('held'));
});

When('a wire bus with another key sends a request', async () => {
  const other = new TcpPeerBus({nodeId: 'x', nodeKey: Buffer.from('wrong')});
  outcome = await other.request(address, 'echo', 1, options);
  await other.close();
});

Then('the wire request fails with {string}', (name: string) => {
  assert.equal(codeOf(outcome), name);
});

Then('the wire handler has not run', () => {
  assert.equal(runs, 0);
});

When('a wire request times out before its response', async () => {
  outcome = await client.request(address, 'hold', null, {timeoutMs: 30});
  release();
});

Then('{int} wire response is counted as unknown', async (count: number) => {
  await client.request(address, 'echo', 1, options);
  assert.equal(client.unknownResponses, count);
});

Then('the next wire request succeeds', async () => {
  const next = await client.request(address, 'echo', {a: [1, 'b']}, options);
  assert.deepEqual(next, Result.ok({a: [1, 'b']}));
});

When('a wire stream of {int} bytes is not read', async (size: number) => {
  const opened = await client.openStream(
    address,
    'unread',
    () => null,
    options,
  );
  assert.ok(opened.isOk);
  assert.equal(opened.value.write(Buffer.alloc(size, 'y')), false);
  opened.value.end();
  await sleep(50);
});

Then('at most {int} of its wire bytes leave the sender', (limit: number) => {
  const overhead = 4096;
  assert.ok(client.bytes().call.sent <= limit + overhead);
});

Then(
  'a second wire stream of {int} bytes arrives whole meanwhile',
  async (size: number) => {
    assert.equal(await sendStream('sink', size), size);
    assert.equal(slow.received(), 0);
  },
);

Then('the first wire stream arrives whole after it is read', async () => {
  slow.stream.resume();
  await slow.whole;
  assert.equal(slow.received(), 4_000_000);
});

When('a wire request goes to a port without listener', async () => {
  await server.close();
  outcome = await client.request(address, 'echo', 1, options);
});

When('the answering wire bus closes', () => server.close());

Then('the waiting wire request fails with {string}', async (name: string) => {
  assert.equal(codeOf(await held), name);
});

Then('the wire stream is reset with {string}', async (name: string) => {
  assert.equal(await resetCode, name);
});

When('the wire stream is ended and then reset', async () => {
  slow.stream.resume();
  sent.end();
  await slow.whole;
  sent.reset(new MeshError(WIRE_CODES.cancelled, 'no longer needed'));
});

Then('the answering wire side learns of the reset', async () => {
  await client.request(address, 'echo', 1, options);
  await sleep(20);
  assert.equal(slow.reset(), 'wire.cancelled');
});

When('a wire request has an unknown kind', async () => {
  outcome = await client.request(address, 'nothing', 1, options);
});

When(
  'a wire stream of {int} bytes is sent and its connection is idle',
  async (size: number) => {
    await Promise.all([client.close(), server.close()]);
    await startBuses({idleMs: 100});
    await client.start('127.0.0.1:0');
    assert.equal(await sendStream('sink', size), size);
  },
);

Then(
  'the wire call class counts at least {int} bytes on both sides',
  (size: number) => {
    assert.ok(client.bytes().call.sent >= size);
    assert.ok(server.bytes().call.received >= size);
  },
);

Then('the wire control class counts no bytes of the sender', () => {
  assert.deepEqual(client.bytes().control, {sent: 0, received: 0});
});

Then('the idle wire connection is closed', async () => {
  const sweepsMs = 2300;
  const before = client.bytes().call.sent;
  await sleep(sweepsMs);
  assert.equal(await sendStream('sink', 1), 1);
  const helloBytes = 70;
  assert.ok(client.bytes().call.sent - before > helloBytes);
});

Then('a wire bus without a certificate is refused', async () => {
  const ca = testTls.cert;
  for (const tls of [undefined, {ca} as WireTls]) {
    const bus = new TcpPeerBus({
      nodeId: 'x',
      nodeKey,
      connectTimeoutMs: 500,
      ...(tls && {tls}),
    });
    const result = await bus.request(address, 'reverse', 1, options);
    await bus.close();
    assert.equal(codeOf(result), 'wire.unreachable');
  }
});
