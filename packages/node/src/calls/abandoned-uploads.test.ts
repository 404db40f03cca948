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
/** Requests that the upstreams ran before the upload. */
let runsBefore: number[] = [];
/** Functions that release the slot of each node. */
let releaseSlot: (() => void)[] = [];

After({tags: '@calls'}, async () => {
  upload?.destroy();
  for (const release of releaseSlot) release();
  for (const node of nodes) await node.stop();
  upload = null;
  releaseSlot = [];
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

/** Takes the only slot; returns a function that releases it. */
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
  'two chunked upload nodes that buffer bodies of {int} bytes, with no free slot',
  async (replayBytes: number) => {
    const protocol = {...nativeProtocol, maxReplayBytes: replayBytes};
    for (const place of places) {
      const node = new TestNode(place, [], undefined, protocol);
      nodes.push(node);
      await node.start({slots: 10});
    }
    // Opens all connections that the upload needs.
    const client = new TestClient();
    for (const node of nodes) {
      nodes[0]!.sendTo(node);
      await client.call(nodes[0]!, '/read');
    }
    await client.close();
    releaseSlot = nodes.map(takeSlot);
    runsBefore = runs();
  },
);

When(
  'a chunked upload of {int} bytes waits for a slot of the {word} node',
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
    // A caller that disconnects gets no response.
    echoed.catch(() => undefined);
    sent.write(Buffer.alloc(bytes, 'left'));
    sent.end();
    await waitUntil(() => serving.admission.load().queued === 1);
  },
);

When(
  'the caller of the chunked upload disconnects and {int} ms pass',
  async (ms: number) => {
    upload!.destroy();
    await sleep(ms);
  },
);

When(
  'the slot of the {word} node for chunked uploads is free for {int} ms',
  async (place: string, ms: number) => {
    releaseSlot[indexOf(place)]!();
    await sleep(ms);
  },
);

Then(
  'no chunked upload waits for a slot of the {word} node',
  (place: string) => {
    assert.equal(nodes[indexOf(place)]!.admission.load().queued, 0);
  },
);

Then('no chunked upload has reached an upstream', () => {
  assert.deepEqual(runs(), runsBefore);
});

Then(
  'the chunked upload is answered with its {int} bytes',
  async (bytes: number) => {
    const body = await echoed;
    assert.ok(body.equals(Buffer.alloc(bytes, 'left')), `${body.length} bytes`);
  },
);
