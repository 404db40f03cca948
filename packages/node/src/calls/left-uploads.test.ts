import assert from 'node:assert/strict';
import http from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {nativeProtocol} from './native-protocol.js';
import {TestClient, waitUntil} from './test/test-client.js';
import {TestNode} from './test/test-node.js';

const places: readonly string[] = ['own', 'other'];
const deadlineMs = 10_000;
let nodes: TestNode[] = [];
let upload: http.ClientRequest | null = null;
let echoed: Promise<Buffer> = Promise.resolve(Buffer.alloc(0));
/** Runs of the upstreams before the upload. */
let runsBefore: number[] = [];
/** Frees the slot of each node. */
let free: (() => void)[] = [];

After({tags: '@calls'}, async () => {
  upload?.destroy();
  for (const leave of free) leave();
  for (const node of nodes) await node.stop();
  upload = null;
  free = [];
  nodes = [];
});

function indexOf(place: string): number {
  const index = places.indexOf(place);
  assert.ok(index >= 0, `There is no ${place} node`);
  return index;
}

function runs(): number[] {
  return nodes.map(node => node.upstream!.runs.total);
}

/** Takes the only slot; returns what frees it. */
function takeSlot({admission}: TestNode): () => void {
  admission.slots = 1;
  admission.queueLimit = 1;
  const decision = admission.enter();
  assert.ok(decision.kind === 'admitted');
  let isTaken = true;
  return () => {
    if (isTaken) decision.ticket.release(null);
    isTaken = false;
  };
}

Given(
  'two left upload nodes that keep bodies of {int} bytes, with no free slot',
  async (replayBytes: number) => {
    const protocol = {...nativeProtocol, maxReplayBytes: replayBytes};
    for (const place of places) {
      const node = new TestNode(place, [], undefined, protocol);
      nodes.push(node);
      await node.start({slots: 10});
    }
    // All connections that the upload needs are there before it.
    const client = new TestClient();
    for (const node of nodes) {
      nodes[0]!.sendTo(node);
      await client.call(nodes[0]!, '/read');
    }
    await client.close();
    free = nodes.map(takeSlot);
    runsBefore = runs();
  },
);

When(
  'a left upload in chunks of {int} bytes waits for a slot of the {word} node',
  async (bytes: number, place: string) => {
    const serving = nodes[indexOf(place)]!;
    nodes[0]!.sendTo(serving);
    const sent = http.request(`${nodes[0]!.url}/write?ms=0`, {
      method: 'POST',
      headers: {
        host: 'files',
        'transfer-encoding': 'chunked',
        'vb-deadline-ms': deadlineMs,
      },
    });
    upload = sent;
    echoed = new Promise((resolve, reject) => {
      sent.on('error', reject);
      sent.on('response', res => {
        res.toArray().then(all => resolve(Buffer.concat(all)), reject);
      });
    });
    // A caller that leaves gets no answer.
    echoed.catch(() => undefined);
    sent.write(Buffer.alloc(bytes, 'left'));
    sent.end();
    await waitUntil(() => serving.admission.load().queued === 1);
  },
);

When(
  'the caller of the left upload leaves and {int} ms pass',
  async (ms: number) => {
    upload!.destroy();
    await sleep(ms);
  },
);

When(
  'the slot of the {word} node for left uploads is free for {int} ms',
  async (place: string, ms: number) => {
    free[indexOf(place)]!();
    await sleep(ms);
  },
);

Then('no left upload waits for a slot of the {word} node', (place: string) => {
  assert.equal(nodes[indexOf(place)]!.admission.load().queued, 0);
});

Then('no left upload has reached an upstream', () => {
  assert.deepEqual(runs(), runsBefore);
});

Then(
  'the left upload is answered with its {int} bytes',
  async (bytes: number) => {
    const body = await echoed;
    assert.ok(body.equals(Buffer.alloc(bytes, 'left')), `${body.length} bytes`);
  },
);
