import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {After, Given, Then, When} from '@cucumber/cucumber';
import type {DataTable} from '@cucumber/cucumber';
import {request} from 'undici';
import {seededRandom} from '@verbenabeam/core';
import type {StandinOptions} from '@verbenabeam/app-upstream-standin';
import {testSeed} from '@verbenabeam/testing';
import {TestClient, waitUntil} from './test/test-client.js';
import type {TestResponse} from './test/test-client.js';
import {TestNode} from './test/test-node.js';

/** State of one scenario. */
let client = new TestClient();
let nodes: TestNode[] = [];
let broken: string[] = [];
let whole: boolean[] = [];
let answers: TestResponse[] = [];
let slowBody: AsyncIterable<Buffer>;

async function startNodes(
  count: number,
  options: Partial<StandinOptions> = {},
): Promise<void> {
  broken = [];
  client = new TestClient();
  answers = [];
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

Given(
  '{int} data path nodes that send to each other and to themselves',
  (count: number) => startNodes(count),
);

Given('{int} data path nodes that send to node 2', async (count: number) => {
  await startNodes(count);
  for (const node of nodes) node.sendTo(nodes[1]!);
});

Given(
  '{int} data path nodes whose upstreams have {int} slots and shed',
  (count: number, slots: number) => startNodes(count, {slots, queueLimit: 0}),
);

Given(
  'data path admission allows {int} slots and a queue of {int}',
  (slots: number, queueLimit: number) => {
    for (const {admission} of nodes)
      Object.assign(admission, {slots, queueLimit});
  },
);

When(
  '{int} data path calls of random size and time run at once',
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
    whole = await Promise.all(Array.from({length: count}, one));
  },
);

Then('each data path caller got its own whole answer', () => {
  assert.deepEqual(new Set(whole), new Set([true]));
});

Then('no data path call ran twice', () => {
  for (const node of nodes) {
    assert.deepEqual(node.upstream!.runs.repeated().calls, []);
  }
  for (const {callId} of answers) assert.ok(runsOf(callId) <= 1);
});

When(
  '{int} data path writes are sent in bursts of {int}',
  async (count: number, burst: number) => {
    const rng = seededRandom(testSeed());
    answers = [];
    while (answers.length < count) {
      const some = Array.from({length: burst}, () => {
        const path = `/write?ms=${1 + rng.below(20)}`;
        return client.call(rng.pick(nodes), path, {}, Buffer.from('body'));
      });
      answers.push(...(await Promise.all(some)));
    }
  },
);

Then('some data path writes succeeded and some were refused as not run', () => {
  assert.ok(answers.some(a => a.status === 200));
  assert.ok(answers.some(a => a.notRun));
});

Then('each data path refusal as not run had no run', () => {
  for (const {notRun, callId} of answers) {
    assert.equal(runsOf(callId), notRun ? 0 : 1);
  }
});

When(
  'data path node 2 drains while {int} streams run',
  async (count: number) => {
    const path = '/read?bytes=200000&chunks=10&gap=15';
    const entries = Array.from({length: count}, (_, i) => nodes[i % 2]!);
    const running = entries.map(n => client.getsWhole(n, path, 200_000));
    await waitUntil(() => nodes[1]!.serving.inFlight === count);
    await nodes[1]!.serving.drain();
    assert.equal(nodes[1]!.serving.inFlight, 0);
    await nodes[1]!.serving.close();
    whole = await Promise.all(running);
  },
);

When('the data path upstream of node 2 leaves', () => {
  const {ownUpstream} = nodes[1]!;
  ownUpstream.own = {...ownUpstream.own!, state: 'draining'};
});

Then(
  'a data path call to node 2 is refused with {int} as not run',
  async (code: number) => {
    const before = nodes[1]!.upstream!.runs.total;
    const answer = await client.call(nodes[0]!, '/read');
    assert.deepEqual([answer.code, answer.notRun], [code, true]);
    assert.equal(nodes[1]!.upstream!.runs.total, before);
  },
);

When('the data path upstream of node 2 dies while it answers', async () => {
  const path = '/read?bytes=200000&chunks=20&gap=20';
  const running = client
    .send(nodes[0]!, path)
    .then(res => res.body.arrayBuffer());
  whole = [];
  const settled = running.then(
    () => whole.push(true),
    () => whole.push(false),
  );
  await waitUntil(() => nodes[1]!.upstream!.inFlight === 1);
  await sleep(80);
  nodes[1]!.upstream!.crash();
  await settled;
});

Then('the data path caller sees a cut answer and not a whole one', () => {
  assert.deepEqual(whole, [false]);
});

Then('the data path quarantine learns of the request', async () => {
  await waitUntil(() => nodes[1]!.quarantine.crashes.length === 1);
  assert.equal(nodes[1]!.quarantine.crashes[0]!.length, 1);
});

When('a data path request crashes its upstream', async () => {
  answers = [await client.call(nodes[0]!, '/crash')];
});

Then(
  'the data path answer is {int} with {int} and may have run',
  (status: number, code: number) => {
    const [answer] = answers;
    assert.deepEqual([answer!.status, answer!.code], [status, code]);
    assert.equal(answer!.notRun, false);
  },
);

Then('the data path request ran once', () => {
  assert.equal(runsOf(answers[0]!.callId), 1);
});

When(
  'data path node 2 is lost while it runs {string}',
  async (path: string) => {
    const [entry, serving] = nodes as [TestNode, TestNode];
    entry.sendTo(serving, entry);
    const running = client.call(entry, `${path}?ms=200`);
    await waitUntil(() => serving.upstream!.inFlight === 1);
    await serving.bus.close();
    answers = [await running];
    assert.ok(runsOf(answers[0]!.callId) <= (path === '/write' ? 1 : 2));
  },
);

Then(
  'the data path answer is {int} with {int}',
  (status: number, code: number) => {
    const [answer] = answers;
    assert.deepEqual([answer!.status, answer!.code], [status, code]);
    assert.equal(answer!.notRun, false);
  },
);

When('a data path caller goes away after {int} ms', async (afterMs: number) => {
  const signal = AbortSignal.timeout(afterMs);
  const url = `${nodes[0]!.url}/read?ms=5000`;
  await assert.rejects(request(url, {signal, dispatcher: client.agent}));
});

Then(
  'the data path upstream of node 2 is free within {int} ms',
  async (limitMs: number) => {
    assert.equal(nodes[1]!.upstream!.runs.total, 1);
    await waitUntil(() => nodes[1]!.upstream!.inFlight === 0, limitMs);
    await waitUntil(() => nodes[1]!.admission.load().inFlight === 0, limitMs);
    assert.equal(nodes[1]!.upstream!.cancelled, 1);
  },
);

Then('the data path record of the call says {int}', (code: number) => {
  const ids = nodes[0]!.log;
  assert.equal(ids.size, 1);
  assert.equal(ids.latest(1)[0]!.code.code, code);
});

When(
  'a data path call of {int} ms has a deadline of {int} ms',
  async (ms: number, deadlineMs: number) => {
    const headers = {'vb-deadline-ms': String(deadlineMs)};
    const startAt = performance.now();
    answers = [await client.call(nodes[0]!, `/read?ms=${ms}`, headers)];
    assert.ok(performance.now() - startAt < ms);
  },
);

Then(
  'a data path call with a deadline of {int} ms is refused with {int} as not run',
  async (deadlineMs: number, code: number) => {
    const headers = {'vb-deadline-ms': String(deadlineMs)};
    const answer = await client.call(nodes[0]!, '/read', headers);
    assert.deepEqual([answer.code, answer.notRun], [code, true]);
    assert.equal(runsOf(answer.callId), 0);
  },
);

Then('data path refusals are', async (table: DataTable) => {
  for (const row of table.hashes()) {
    const headers = {[row['header']!]: row['value']!};
    const answer = await client.call(nodes[0]!, row['path']!, headers);
    assert.equal(answer.status, Number(row['status']));
    assert.equal(answer.code, Number(row['code']));
    assert.equal(answer.notRun, true);
    assert.equal(runsOf(answer.callId), 0);
  }
});

Then(
  'without a configuration the data path refuses with {int}',
  async (code: number) => {
    nodes[0]!.config.snapshot = null;
    assert.equal((await client.call(nodes[0]!, '/read')).code, code);
  },
);

When(
  'a data path caller does not read an answer of {int} bytes',
  async (size: number) => {
    const res = await client.send(nodes[0]!, `/read?bytes=${size}`);
    slowBody = res.body;
    const sent = () => nodes[1]!.bus.bytes().call.sent;
    for (let last = -1; last !== sent(); await sleep(100)) last = sent();
  },
);

Then('other data path calls are answered meanwhile', async () => {
  // Most that the socket buffers of the machine may hold for the caller.
  const heldBytes = 20_000_000;
  assert.ok(nodes[1]!.bus.bytes().call.sent < heldBytes);
  assert.ok(await client.getsWhole(nodes[0]!, '/read?bytes=300000', 300_000));
});

Then('the slow data path caller gets its whole answer in the end', async () => {
  let size = 0;
  for await (const chunk of slowBody) size += chunk.length;
  assert.equal(size, 40_000_000);
});

When(
  'a data path body of {int} bytes is echoed through each node',
  async (size: number) => {
    const sent = Buffer.alloc(size, 'large body ');
    const entry = nodes[0]!;
    whole = [];
    for (const target of nodes) {
      entry.sendTo(target);
      whole.push(await client.getsEcho(entry, '/write', sent));
    }
  },
);

When(
  'a data path write with the key {string} is sent {int} times',
  async (key: string, times: number) => {
    answers = [];
    const headers = {'idempotency-key': key};
    for (let i = 0; i < times; i++) {
      const body = Buffer.from(`body ${i}`);
      answers.push(await client.call(nodes[0]!, '/keyed', headers, body));
    }
  },
);

Then('each data path answer is the first one', () => {
  for (const {status, body} of answers) {
    assert.equal(status, 200);
    assert.equal(body.toString(), 'body 0');
  }
});

Then(
  'the data path upstream ran the key {string} {int} time',
  (key: string, times: number) => {
    assert.equal(nodes[1]!.upstream!.runs.ofKey(key), times);
  },
);
