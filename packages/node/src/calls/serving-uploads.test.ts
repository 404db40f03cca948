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
let grantedBytes: number[];

Given(
  'a data path body of unknown length whose first {int} bytes have arrived',
  (bytes: number) => {
    const [stream] = localStreamPair();
    grantedBytes = [];
    stream.allow = more => void grantedBytes.push(more);
    body = new ServingBody(null, stream, 0);
    body.accept(Buffer.alloc(bytes));
  },
);

Then('the data path body is granted no more bytes', async () => {
  await new Promise(resolve => setImmediate(resolve));
  assert.deepEqual(grantedBytes, []);
});

Then(
  'once its request is sent the data path body is granted {int} more bytes',
  (more: number) => {
    body.take();
    assert.deepEqual(grantedBytes, [more]);
    body.destroy();
  },
);
