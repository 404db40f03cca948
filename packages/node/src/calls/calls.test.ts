import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {After, Given, Then, When} from '@cucumber/cucumber';
import type {DataTable} from '@cucumber/cucumber';
import {seededRandom} from '@verbenabeam/core';
import type {StandinOptions} from '@verbenabeam/app-upstream-standin';
import {testSeed} from '@verbenabeam/testing';
import {TestClient, waitUntil} from './test/test-client.js';
import type {TestResponse} from './test/test-client.js';
import {TestNode} from './test/test-node.js';

/** State of the current scenario. */
let client = new TestClient();
let nodes: TestNode[] = [];
let broken: string[] = [];
let intact: boolean[] = [];
let responses: TestResponse[] = [];
let slowBody: AsyncIterable<Buffer>;

async function startNodes(
  count: number,
  options: Partial<StandinOptions> = {},
): Promise<void> {
  broken = [];
  client = new TestClient();
  responses = [];
  nodes = Array.from({length: count}, (_, i) => new TestNode(`n${i}`, broken));
  await Promise.all(nodes.map(n => n.start({slots: 500, ...options})));
  for (const node of nodes) node.sendTo(...nodes);
}

function runsOf(callId: string): number {
  const counts = nodes.map(n => n.upstream!.runs.ofCall(callId));
  return counts.reduce((a, b) => a + b);
}

After({tags: '@calls'}, async () => {
  await Promise.all(nodes.map(n => n.stop()));
  await client.close();
  nodes = [];
  assert.deepEqual(broken, []);
});

Given('{int} data path nodes that forward to all of them', (count: number) =>
  startNodes(count),
);

Given('{int} data path nodes that forward to node 2', async (count: number) => {
  await startNodes(count);
  for (const node of nodes) node.sendTo(nodes[1]!);
});

Given(
  '{int} data path nodes whose upstreams shed load and have {int} slots',
  (count: number, slots: number) => startNodes(count, {slots, queueLimit: 0}),
);

Given(
  'the data path admission of each node allows {int} slots and a queue of {int}',
  (slots: number, queueLimit: number) => {
    for (const {admission} of nodes)
      Object.assign(admission, {slots, queueLimit});
  },
);

When(
  '{int} concurrent data path calls of random size and duration are made',
  async (count: number) => {
    const rng = seededRandom(testSeed());
    const one = (_: unknown, i: number) => {
      const node = rng.pick(nodes);
      const size = 1 + rng.below(rng.pick([100, 2000, 90_000]));
      const path = `/read?id=${i}&ms=${rng.below(60)}`;
      if (rng.float() < 0.5)
        return client.getsEcho(node, path, Buffer.alloc(size, path));
      const spread = `&chunks=${1 + rng.below(4)}&gap=${rng.below(4)}`;
      return client.getsWhole(node, `${path}&bytes=${size}${spread}`, size);
    };
    intact = await Promise.all(Array.from({length: count}, one));
  },
);

Then('each data path caller received its own complete response', () => {
  assert.deepEqual(new Set(intact), new Set([true]));
});

Then('no data path call ran twice', () => {
  for (const node of nodes) {
    assert.deepEqual(node.upstream!.runs.repeated().calls, []);
  }
  for (const {callId} of responses) assert.ok(runsOf(callId) <= 1);
});

When(
  '{int} data path writes are sent in bursts of {int}',
  async (count: number, burst: number) => {
    const rng = seededRandom(testSeed());
    responses = [];
    while (responses.length < count) {
      const batch = Array.from({length: burst}, () => {
        const path = `/write?ms=${1 + rng.below(20)}`;
        return client.call(rng.pick(nodes), path, {}, Buffer.from('body'));
      });
      responses.push(...(await Promise.all(batch)));
    }
  },
);

Then('some data path writes succeeded and some were refused as not run', () => {
  assert.ok(responses.some(a => a.status === 200));
  assert.ok(responses.some(a => a.notRun));
});

Then('no data path write that was refused as not run had run', () => {
  for (const {notRun, callId} of responses) {
    assert.equal(runsOf(callId), notRun ? 0 : 1);
  }
});

When(
  'data path node 2 drains while it serves {int} streaming responses',
  async (count: number) => {
    const path = '/read?bytes=200000&chunks=10&gap=15';
    const entries = Array.from({length: count}, (_, i) => nodes[i % 2]!);
    const running = entries.map(n => client.getsWhole(n, path, 200_000));
    await waitUntil(() => nodes[1]!.serving.inFlight === count);
    await nodes[1]!.serving.drain();
    assert.equal(nodes[1]!.serving.inFlight, 0);
    await nodes[1]!.serving.close();
    intact = await Promise.all(running);
  },
);

When('the data path upstream of node 2 starts to drain', () => {
  const {ownUpstream} = nodes[1]!;
  ownUpstream.own = {...ownUpstream.own!, state: 'draining'};
});

Then(
  'a data path call to node 2 is refused with {int} as not run',
  async (code: number) => {
    const before = nodes[1]!.upstream!.runs.total;
    const response = await client.call(nodes[0]!, '/read');
    assert.deepEqual([response.code, response.notRun], [code, true]);
    assert.equal(nodes[1]!.upstream!.runs.total, before);
  },
);

When('the data path upstream of node 2 crashes while it responds', async () => {
  const path = '/read?bytes=200000&chunks=20&gap=20';
  const running = client
    .send(nodes[0]!, path)
    .then(res => res.body.arrayBuffer());
  intact = [];
  const settled = running.then(
    () => intact.push(true),
    () => intact.push(false),
  );
  await waitUntil(() => nodes[1]!.upstream!.inFlight === 1);
  await sleep(80);
  nodes[1]!.upstream!.crash();
  await settled;
});

Then('the data path caller sees that the response is truncated', () => {
  assert.deepEqual(intact, [false]);
});

Then('the data path quarantine records the request', async () => {
  await waitUntil(() => nodes[1]!.quarantine.crashes.length === 1);
  assert.equal(nodes[1]!.quarantine.crashes[0]!.length, 1);
});

When('a data path request crashes its upstream', async () => {
  responses = [await client.call(nodes[0]!, '/crash')];
});

Then(
  'the data path response is {int} with {int} and may have run',
  (status: number, code: number) => {
    const [response] = responses;
    assert.deepEqual([response!.status, response!.code], [status, code]);
    assert.equal(response!.notRun, false);
  },
);

Then('the data path request ran once', () => {
  assert.equal(runsOf(responses[0]!.callId), 1);
});

When(
  'data path node 2 loses its connections while it runs {string}',
  async (path: string) => {
    const [entry, serving] = nodes as [TestNode, TestNode];
    entry.sendTo(serving, entry);
    const running = client.call(entry, `${path}?ms=200`);
    await waitUntil(() => serving.upstream!.inFlight === 1);
    await serving.bus.close();
    responses = [await running];
    assert.ok(runsOf(responses[0]!.callId) <= (path === '/write' ? 1 : 2));
  },
);

Then(
  'the data path response is {int} with {int}',
  (status: number, code: number) => {
    const [response] = responses;
    assert.deepEqual([response!.status, response!.code], [status, code]);
    assert.equal(response!.notRun, false);
  },
);

When(
  'a data path caller disconnects {int} ms after its call began to run',
  async (ms: number) => {
    await client.leaves(nodes[0]!, '/read?ms=5000', async () => {
      await waitUntil(() => nodes[1]!.upstream!.inFlight === 1);
      await sleep(ms);
    });
  },
);

Then(
  'the data path upstream of node 2 is idle within {int} ms',
  async (limitMs: number) => {
    assert.equal(nodes[1]!.upstream!.runs.total, 1);
    await waitUntil(() => nodes[1]!.upstream!.inFlight === 0, limitMs);
    await waitUntil(() => nodes[1]!.admission.load().inFlight === 0, limitMs);
    assert.equal(nodes[1]!.upstream!.cancelled, 1);
  },
);

Then('the data path record of the call has code {int}', (code: number) => {
  const {log} = nodes[0]!;
  assert.equal(log.size, 1);
  assert.equal(log.latest(1)[0]!.code.code, code);
});

When(
  'a data path call of {int} ms has a deadline of {int} ms',
  async (ms: number, deadlineMs: number) => {
    const headers = {'vb-deadline-ms': String(deadlineMs)};
    const startAt = performance.now();
    responses = [await client.call(nodes[0]!, `/read?ms=${ms}`, headers)];
    assert.ok(performance.now() - startAt < ms);
  },
);

Then(
  'a data path call with a deadline of {int} ms is refused with {int} as not run',
  async (deadlineMs: number, code: number) => {
    const headers = {'vb-deadline-ms': String(deadlineMs)};
    const response = await client.call(nodes[0]!, '/read', headers);
    assert.deepEqual([response.code, response.notRun], [code, true]);
    assert.equal(runsOf(response.callId), 0);
  },
);

Then('data path calls are refused as follows', async (table: DataTable) => {
  for (const row of table.hashes()) {
    const headers = {[row['header']!]: row['value']!};
    const response = await client.call(nodes[0]!, row['path']!, headers);
    assert.equal(response.status, Number(row['status']));
    assert.equal(response.code, Number(row['code']));
    assert.equal(response.notRun, true);
    assert.equal(runsOf(response.callId), 0);
  }
});

Then(
  'without a configuration a data path call is refused with {int}',
  async (code: number) => {
    nodes[0]!.config.snapshot = null;
    assert.equal((await client.call(nodes[0]!, '/read')).code, code);
  },
);

When(
  'a data path caller does not read a response of {int} bytes',
  async (size: number) => {
    const res = await client.send(nodes[0]!, `/read?bytes=${size}`);
    slowBody = res.body;
    const sent = () => nodes[1]!.bus.bytes().call.sent;
    for (let last = -1; last !== sent(); await sleep(100)) last = sent();
  },
);

Then('other data path calls are still answered', async () => {
  // Upper bound on what the socket buffers of the machine hold for the caller.
  const maxSocketBufferBytes = 20_000_000;
  assert.ok(nodes[1]!.bus.bytes().call.sent < maxSocketBufferBytes);
  assert.ok(await client.getsWhole(nodes[0]!, '/read?bytes=300000', 300_000));
});

Then('the slow data path caller gets its complete response', async () => {
  let size = 0;
  for await (const chunk of slowBody) size += chunk.length;
  assert.equal(size, 40_000_000);
});

When(
  'a data path body of {int} bytes is echoed through each node',
  async (size: number) => {
    const sent = Buffer.alloc(size, 'large body ');
    const entry = nodes[0]!;
    intact = [];
    for (const target of nodes) {
      entry.sendTo(target);
      intact.push(await client.getsEcho(entry, '/write', sent));
    }
  },
);

When(
  'a data path write with idempotency key {string} is sent {int} times',
  async (key: string, times: number) => {
    responses = [];
    const headers = {'idempotency-key': key};
    for (let i = 0; i < times; i++) {
      const body = Buffer.from(`body ${i}`);
      responses.push(await client.call(nodes[0]!, '/keyed', headers, body));
    }
  },
);

Then('each data path response equals the first one', () => {
  for (const {status, body} of responses) {
    assert.equal(status, 200);
    assert.equal(body.toString(), 'body 0');
  }
});

Then(
  'the data path upstream ran key {string} {int} time',
  (key: string, times: number) => {
    assert.equal(nodes[1]!.upstream!.runs.ofKey(key), times);
  },
);
