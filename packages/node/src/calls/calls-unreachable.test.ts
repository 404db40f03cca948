import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {CutLink} from './test/cut-link.js';
import {TestClient, waitUntil} from './test/test-client.js';
import type {TestResponse} from './test/test-client.js';
import {TestNode} from './test/test-node.js';

/** State of the current scenario. */
let client = new TestClient();
let broken: string[] = [];
let entry: TestNode;
let first: TestNode;
let unreachable: TestNode[] = [];
let running: Promise<TestResponse>;
let links: CutLink[] = [];

async function startNode(nodeId: string): Promise<TestNode> {
  const node = new TestNode(nodeId, broken);
  await node.start({});
  return node;
}

After({tags: '@calls'}, async () => {
  const nodes = [entry, first, ...unreachable].filter(Boolean);
  await Promise.all(nodes.map(node => node.stop()));
  await client.close();
  for (const link of links) link.cut();
  unreachable = [];
  links = [];
  assert.deepEqual(broken, []);
});

Given('a read whose first instance is lost while it runs', async () => {
  client = new TestClient();
  broken = [];
  entry = await startNode('entry');
  first = await startNode('first');
});

async function startUnreachable(count: number): Promise<void> {
  const ids = Array.from({length: count}, (_, i) => `gone${i}`);
  unreachable = await Promise.all(ids.map(startNode));
  await Promise.all(unreachable.map(node => node.bus.close()));
}

async function loseFirst(): Promise<void> {
  running = client.call(entry, '/read?ms=200');
  await waitUntil(() => first.upstream!.inFlight === 1);
  await first.bus.close();
}

Given(
  '{int} further instances that refuse connections',
  async (count: number) => {
    await startUnreachable(count);
    // The fake picks the first instance, then the unreachable ones, then the entry node.
    entry.sendTo(first, entry, ...unreachable);
    await loseFirst();
  },
);

Given(
  'only {int} further instances, which refuse connections',
  async (count: number) => {
    await startUnreachable(count);
    entry.sendTo(first, ...unreachable);
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

Given(
  'a read that runs at the first of {int} instances with open connections',
  async (count: number) => {
    client = new TestClient();
    broken = [];
    entry = await startNode('entry');
    first = await startNode('first');
    const ids = Array.from({length: count - 1}, (_, i) => `lost${i}`);
    unreachable = await Promise.all(ids.map(startNode));
    const lost = [first, ...unreachable];
    links = lost.map(() => new CutLink());
    const addresses = await Promise.all(
      lost.map((node, i) => links[i]!.start(node.wireAddress)),
    );
    const targets = lost.map(({nodeId}, i) => ({
      nodeId,
      address: addresses[i]!,
      local: false,
    }));
    for (const target of targets) {
      entry.instances.targets = [target];
      assert.equal((await client.call(entry, '/read')).status, 200);
    }
    targets.push({nodeId: 'entry', address: entry.wireAddress, local: true});
    entry.instances.pick = (_service, _version, exclude) =>
      targets.find(({nodeId}) => !exclude.has(nodeId)) ?? null;
    running = client.call(entry, '/read?ms=200');
    await waitUntil(() => first.upstream!.inFlight === 1);
  },
);

When(
  'those instances are killed and their connections closed {int} ms apart',
  async (gapMs: number) => {
    for (const link of links) link.stop();
    for (const link of links) {
      link.cut();
      if (gapMs > 0) await sleep(gapMs);
    }
  },
);

Then('the read is answered by the entry node', async () => {
  const {status, code, callId} = await running;
  const attempts = entry.log.find(callId)?.attempts;
  assert.deepEqual([status, code], [200, 1600], JSON.stringify(attempts));
  assert.equal(attempts?.at(-1)?.nodeId, 'entry');
});

// Guards against an error message that names a refused connection as the reason why
// the request may have run.
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
