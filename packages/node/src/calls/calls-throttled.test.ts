import assert from 'node:assert/strict';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {CALL_CODES, seededRandom} from '@verbenabeam/core';
import {AdaptiveThrottle} from '@verbenabeam/routing';
import {testSeed} from '@verbenabeam/testing';
import {TestClient} from './test/test-client.js';
import type {TestResponse} from './test/test-client.js';
import {TestNode} from './test/test-node.js';

/** State of the current scenario. */
let client = new TestClient();
let nodes: TestNode[] = [];
let broken: string[] = [];
let responses: TestResponse[] = [];

async function startNodes(slots: number): Promise<void> {
  client = new TestClient();
  broken = [];
  responses = [];
  const random = seededRandom(testSeed());
  const throttle = new AdaptiveThrottle({random});
  nodes = [
    new TestNode('entry', broken, throttle),
    new TestNode('serving', broken),
  ];
  for (const node of nodes) {
    await node.start({slots: 500});
    node.admission.slots = slots;
  }
  nodes[0]!.sendTo(nodes[1]!);
}

After({tags: '@calls'}, async () => {
  await Promise.all(nodes.map(n => n.stop()));
  await client.close();
  nodes = [];
  assert.deepEqual(broken, []);
});

Given('2 throttled nodes whose instances refuse all calls', () =>
  startNodes(0),
);

Given('2 throttled nodes whose instances accept all calls', () =>
  startNodes(500),
);

When(
  '{int} throttled read calls are made one after the other',
  async (count: number) => {
    for (let i = 0; i < count; i++) {
      responses.push(await client.call(nodes[0]!, '/read?ms=0'));
    }
  },
);

Then('all throttled calls are refused as not run', () => {
  for (const {status, notRun} of responses) {
    assert.equal(status, 503);
    assert.ok(notRun);
  }
});

Then(
  'at most {int} throttled calls were sent to an instance',
  (most: number) => {
    const sent = records().filter(({attempts}) => attempts.length > 0);
    assert.ok(sent.length <= most, `${sent.length} were sent`);
  },
);

Then(
  'each throttled call that was sent to none is recorded with {int}',
  (code: number) => {
    const rejected = records().filter(({attempts}) => attempts.length === 0);
    assert.ok(rejected.length > 0);
    assert.deepEqual([...new Set(rejected.map(r => r.code.code))], [code]);
  },
);

Then('all throttled calls are served', () => {
  const {code} = CALL_CODES.ok;
  assert.deepEqual([...new Set(responses.map(a => a.code))], [code]);
});

function records() {
  return nodes[0]!.log.latest(responses.length);
}
