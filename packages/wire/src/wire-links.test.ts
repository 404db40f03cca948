import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {Result} from 'true-myth';
import {MeshError, WIRE_CODES} from '@verbenabeam/core';
import type {TcpPeerBusOptions} from './bus-options.js';
import {encodeChunkHeader} from './chunk-frame.js';
import {encodeFrame, FRAME_TYPES} from './frame.js';
import {OneWayDelay} from './one-way-delay.js';
import type {ByteStream} from './peer-bus.js';
import {TcpPeerBus} from './tcp-peer-bus.js';
import {TestLink} from './test/test-link.js';
import {RawPeer} from './test/test-peers.js';

const nodeKey = Buffer.from('a node key for the tests');
const timeoutMs = 15_000;
const noticeGapMs = 50;
/** Time for which a peer reads nothing, in ms. */
const unreadMs = 1_000;

/** State of one scenario. */
let client: TcpPeerBus;
let server: TcpPeerBus;
let serverAddress: string;
let link: TestLink;
let release: () => void;
let held: Promise<Result<unknown, MeshError>>;
let isOpen: boolean;
let raw: RawPeer;
let taken: number;
let answered: Promise<unknown>;
let noteAge: (ageMs: number) => void;
let age: Promise<number>;
let pinged: Result<ByteStream, MeshError>;
let pingedMs: number;
const driftAges: number[] = [];

async function start(extra: Partial<TcpPeerBusOptions>): Promise<void> {
  client = new TcpPeerBus({nodeId: 'client', nodeKey, ...extra});
  server = new TcpPeerBus({nodeId: 'server', nodeKey});
  const gate = new Promise<void>(resolve => (release = resolve));
  server.onRequest('hold', () => gate.then(() => Result.ok('held')));
  server.onRequest('echo', body => Result.ok(body));
  server.onStream('count', (_head, stream) => {
    stream.pause();
    stream.listen({
      onChunk: chunk => (taken += chunk.length),
      onEnd: () => undefined,
      onReset: () => undefined,
    });
  });
  server.onStream('age', (_head, stream) => noteAge(stream.ageMs));
  taken = 0;
  serverAddress = (await server.start('127.0.0.1:0')).unwrapOr('');
  // Only a started bus looks for silent connections.
  await client.start('127.0.0.1:0');
  link = new TestLink(serverAddress);
  await link.start();
}

When('the node of the wire link stands still for {int} ms', (ms: number) => {
  const until = performance.now() + ms;
  while (performance.now() < until);
});

After({tags: '@wire-links'}, async () => {
  release();
  await Promise.all([client.close(), server.close()]);
  link.close();
});

Given('a wire link between two buses', () => start({}));

Given(
  'a wire link between two buses that allow {int} ms of silence',
  (silenceLimitMs: number) => start({silenceLimitMs, pingAfterMs: 100}),
);

Given('a request on the wire link that waits for its response', async () => {
  held = client.request(link.address, 'hold', null, {timeoutMs});
  isOpen = true;
  void held.then(() => (isOpen = false));
  await client.request(link.address, 'echo', 1, {timeoutMs});
});

When('the answering side of the wire link sends goAway', async () => {
  link.inject([FRAME_TYPES.goAway]);
  await sleep(50);
});

Then('the next request on the wire link uses a second connection', async () => {
  assert.equal(link.connections, 1);
  const answer = await client.request(link.address, 'echo', 2, {timeoutMs});
  assert.deepEqual(answer, Result.ok(2));
  assert.equal(link.connections, 2);
});

Then('the waiting request on the wire link gets its response', async () => {
  release();
  assert.deepEqual(await held, Result.ok('held'));
});

Then(
  'the request on the wire link is still open after {int} ms',
  async (ms: number) => {
    await sleep(ms);
    assert.ok(isOpen);
    assert.equal(link.connections, 1);
  },
);

When(
  'notices are sent on the wire link for {int} ms',
  async (forMs: number) => {
    const endAt = performance.now() + forMs;
    while (performance.now() < endAt) {
      client.notify(link.address, 'tell', 'news');
      await sleep(noticeGapMs);
    }
  },
);

Then('the wire link was connected 1 time', () => {
  assert.equal(link.connections, 1);
});

Then('the wire link was connected more than once', () => {
  assert.ok(link.connections > 1, 'the dead connection was kept');
});

When('the wire link falls silent', () => {
  link.silent = true;
});

Then(
  'the waiting request on the wire link fails with {string}',
  async (name: string) => {
    const result = await held;
    assert.equal(result.isErr && result.error.code.name, name);
  },
);

When(
  'another peer sends {int} bytes beside the wire link without credit',
  async (size: number) => {
    raw = new RawPeer(serverAddress);
    await raw.authenticate(nodeKey);
    raw.socket.write(encodeFrame([FRAME_TYPES.open, 1, 'count', null]));
    const pieces = 5;
    const piece = Buffer.alloc(size / pieces);
    for (let i = 0; i < pieces; i++) {
      raw.socket.write(encodeChunkHeader(1, piece.length));
      raw.socket.write(piece);
    }
  },
);

When(
  'another peer sends {int} frames {string} of {int} bytes on a stream that is not read beside the wire link',
  async (count: number, frame: 'head' | 'end', size: number) => {
    raw = new RawPeer(serverAddress);
    await raw.authenticate(nodeKey);
    raw.socket.write(encodeFrame([FRAME_TYPES.open, 1, 'count', null]));
    const bytes = encodeFrame([FRAME_TYPES[frame], 1, Buffer.alloc(size)]);
    for (let i = 0; i < count; i++) raw.socket.write(bytes);
  },
);

When(
  'another peer sends {int} requests of {int} bytes beside the wire link and reads no responses',
  async (count: number, size: number) => {
    raw = new RawPeer(serverAddress);
    await raw.authenticate(nodeKey);
    // Its own end of the handshake would close the connection at a response.
    raw.socket.removeAllListeners('data');
    raw.socket.pause();
    const body = Buffer.alloc(size);
    for (let id = 1; id <= count; id++) {
      raw.socket.write(encodeFrame([FRAME_TYPES.request, id, 'echo', body]));
    }
    await sleep(unreadMs);
    // A socket that is not read does not notice its end.
    raw.socket.resume();
  },
);

Then('the other peer beside the wire link is disconnected', async () => {
  const limitMs = 2000;
  const late = sleep(limitMs, 'late', {ref: false});
  assert.notEqual(await Promise.race([raw.closed, late]), 'late');
});

When('the wire link holds bytes for {int} ms', (delayMs: number) => {
  link.delayMs = delayMs;
});

When('a stream is opened on the wire link', async () => {
  age = new Promise(resolve => (noteAge = resolve));
  const opened = await client.openStream(link.address, 'age', () => null, {
    timeoutMs,
  });
  assert.ok(opened.isOk);
  await age;
});

When('a stream that pings first is opened on the wire link', async () => {
  const options = {timeoutMs, pingFirst: true};
  age = new Promise(resolve => (noteAge = resolve));
  const startAt = performance.now();
  pinged = await client.openStream(link.address, 'age', () => null, options);
  pingedMs = performance.now() - startAt;
});

Then('that stream beside the wire link arrives and is reset', async () => {
  assert.ok(pinged.isOk);
  await age;
  const text = 'The test has ended';
  pinged.value.reset(new MeshError(WIRE_CODES.cancelled, text));
});

Then(
  'that stream beside the wire link fails with {string} within {int} ms',
  (name: string, withinMs: number) => {
    assert.equal(pinged.isErr && pinged.error.code.name, name);
    assert.ok(pingedMs <= withinMs, `after ${pingedMs} ms`);
  },
);

Then(
  'its age beside the wire link is from {int} to {int} ms',
  async (least: number, most: number) => {
    const ageMs = await age;
    assert.ok(ageMs >= least && ageMs <= most, `${ageMs} ms`);
  },
);

When(
  'the clock of a wire peer loses {int} ms in each minute',
  (lostMs: number) => {
    const delay = new OneWayDelay();
    const minuteMs = 60_000;
    const hourMs = 60 * minuteMs;
    driftAges.length = 0;
    for (let now = 0; now < hourMs; now += 1000) {
      const sentAt = now * (1 - lostMs / minuteMs);
      driftAges.push(delay.excessMs(sentAt, now));
    }
    // After an hour without a frame nothing of before may count.
    driftAges.push(delay.excessMs(hourMs, 2 * hourMs));
  },
);

Then(
  'no stream beside the wire link is older than {int} ms',
  (mostMs: number) => {
    assert.ok(Math.max(...driftAges) <= mostMs);
    assert.equal(driftAges.at(-1), 0);
  },
);

Then(
  'at most {int} of its bytes were taken beside the wire link',
  (limit: number) => {
    assert.ok(taken <= limit);
  },
);

When('a notice on the wire link is answered by a notice', async () => {
  server.onNotice('ask', (_body, peer) => {
    assert.ok(peer.notify('tell', 'answer'));
  });
  answered = new Promise(resolve => {
    client.onNotice('tell', resolve);
  });
  client.notify(link.address, 'ask', null);
  await Promise.race([answered, sleep(timeoutMs, null, {ref: false})]);
});

// Guards against a dial back for each answer, which doubles the handshakes.
Then(
  'the answer arrives on the wire link without another handshake',
  async () => {
    assert.equal(await answered, 'answer');
    assert.equal(link.connections, 1);
    assert.equal(server.bytes().control.sent, countedBy(server));
  },
);

Then('the wire link counts the bytes of the answer by its kind', () => {
  const {tell = 0, handshake = 0} = server.sentByKind();
  assert.equal(
    tell,
    encodeFrame([FRAME_TYPES.notice, 'tell', 'answer']).length,
  );
  assert.ok(handshake > 0);
});

function countedBy(bus: TcpPeerBus): number {
  return Object.values(bus.sentByKind()).reduce((sum, n) => sum + n, 0);
}
