import assert from 'node:assert/strict';
import {After, Given, Then} from '@cucumber/cucumber';
import {TestClient, waitUntil} from './test/test-client.js';
import type {TestResponse} from './test/test-client.js';
import {TestNode} from './test/test-node.js';

/** State of one scenario. */
let client = new TestClient();
let broken: string[] = [];
let entry: TestNode;
let first: TestNode;
let gone: TestNode[] = [];
let running: Promise<TestResponse>;

async function startNode(nodeId: string): Promise<TestNode> {
  const node = new TestNode(nodeId, broken);
  await node.start({});
  return node;
}

After({tags: '@calls'}, async () => {
  const nodes = [entry, first, ...gone].filter(Boolean);
  await Promise.all(nodes.map(node => node.stop()));
  await client.close();
  gone = [];
  assert.deepEqual(broken, []);
});

Given('a call whose first instance is lost while it runs a read', async () => {
  client = new TestClient();
  broken = [];
  entry = await startNode('entry');
  first = await startNode('first');
});

async function startGone(count: number): Promise<void> {
  const ids = Array.from({length: count}, (_, i) => `gone${i}`);
  gone = await Promise.all(ids.map(startNode));
  await Promise.all(gone.map(node => node.bus.close()));
}

async function loseFirst(): Promise<void> {
  running = client.call(entry, '/read?ms=200');
  await waitUntil(() => first.upstream!.inFlight === 1);
  await first.bus.close();
}

Given(
  '{int} further instances that refuse connections',
  async (count: number) => {
    await startGone(count);
    // The fake picks the first, then those that are gone, and then the entry.
    entry.sendTo(first, entry, ...gone);
    await loseFirst();
  },
);

Given(
  'only {int} further instances, which refuse connections',
  async (count: number) => {
    await startGone(count);
    entry.sendTo(first, ...gone);
    await loseFirst();
  },
);

Then('the read is answered by the fifth instance', async () => {
  const {status, code, callId} = await running;
  assert.deepEqual([status, code], [200, 1600]);
  const record = entry.log.find(callId);
  assert.equal(record?.attempts.length, 5);
  assert.equal(record.attempts.at(-1)?.nodeId, 'entry');
});

// Guards against a caller that is told of a refused connection as the reason
// why its request may have run.
Then(
  'the read fails with {int} and the message of the first attempt',
  async (expected: number) => {
    const {code, body, callId} = await running;
    assert.equal(code, expected);
    assert.equal(entry.log.find(callId)?.attempts.length, 3);
    const {message} = JSON.parse(body.toString()) as {message: string};
    assert.equal(message, 'The peer closed the connection');
  },
);
