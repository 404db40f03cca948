import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {Agent} from 'undici';
import {localStreamPair} from './local-stream.js';
import {ServingBody} from './serving-body.js';
import {TestClient, waitUntil} from './test/test-client.js';
import {TestNode} from './test/test-node.js';

let node: TestNode;
let client: TestClient;
let broken: string[];

Given('a data path upload node that finds no instance', async () => {
  broken = [];
  client = new TestClient(new Agent({connections: 1}));
  node = new TestNode('n1', broken);
  await node.start({});
  node.sendTo();
});

When(
  'a data path upload of {int} bytes is refused with {int}',
  async (size: number, refusal: number) => {
    const {code} = await client.call(node, '/write', {}, Buffer.alloc(size));
    assert.equal(code, refusal);
  },
);

Then(
  'the next data path call on that connection is answered within {int} ms',
  async (limitMs: number) => {
    node.sendTo(node);
    let code = 0;
    const next = client.call(node, '/read').then(
      answer => (code = answer.code),
      () => (code = -1),
    );
    try {
      await waitUntil(() => code !== 0, limitMs);
      assert.equal(code, 1600);
    } finally {
      await client.close();
      await next;
      await node.stop();
    }
    assert.deepEqual(broken, []);
  },
);

let body: ServingBody;
let allowed: number[];

Given(
  'a data path body of unknown length whose first {int} bytes have come',
  (bytes: number) => {
    const [stream] = localStreamPair();
    allowed = [];
    stream.allow = more => void allowed.push(more);
    body = new ServingBody(null, stream, 0);
    body.accept(Buffer.alloc(bytes));
  },
);

Then('no more bytes of it are allowed', async () => {
  await new Promise(resolve => setImmediate(resolve));
  assert.deepEqual(allowed, []);
});

Then(
  'once its request is sent {int} more bytes are allowed',
  (more: number) => {
    body.take();
    assert.deepEqual(allowed, [more]);
    body.destroy();
  },
);
