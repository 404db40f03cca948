import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {CALL_CODES, MeshError} from '@verbenabeam/core';
import type {CallHead} from './call-head.js';
import {localStreamPair} from './local-stream.js';
import {TestNode} from './test/test-node.js';

const settleMs = 150;
const laterCallbacks = 50;
const remainingMs = 1_000;
let node: TestNode | null = null;
let entered = 0;

After({tags: '@calls'}, async () => {
  await node?.stop();
  node = null;
});

function head(callId: string): CallHead {
  return {
    callId,
    service: 'files',
    version: 'v1',
    method: 'GET',
    path: '/read?ms=0',
    remainingMs,
    depth: 1,
    retriesLeft: 0,
    routeName: 'read',
    priority: 0,
    targetMs: remainingMs,
    callerClass: '',
    bodyBytes: 0,
    headers: ['host', 'files'],
  };
}

Given('a stale data path node that has answered a call', async () => {
  node = new TestNode('stale', []);
  await node.start({slots: 10});
  entered = 0;
  const {admission} = node;
  const enter = admission.enter.bind(admission);
  admission.enter = () => {
    entered++;
    return enter();
  };
  const [own, serving] = localStreamPair();
  const ended = new Promise<void>((resolve, reject) => {
    own.listen({
      onChunk: () => undefined,
      onEnd: () => resolve(),
      onReset: reject,
    });
  });
  node.serving.serve(head('first'), serving);
  own.end();
  await ended;
});

When(
  '{int} stale data path calls arrive together with their ends',
  async (count: number) => {
    const streams = [];
    for (let i = 0; i < count; i++) {
      const [own, serving] = localStreamPair();
      own.listen({
        onChunk: () => undefined,
        onEnd: () => undefined,
        onReset: () => undefined,
      });
      node!.serving.serve(head(`stale-${i}`), serving);
      streams.push(own);
    }
    // The ends are read in the same turn of the event loop, by later callbacks.
    for (let i = 0; i < laterCallbacks; i++) await Promise.resolve();
    for (const own of streams) {
      own.reset(new MeshError(CALL_CODES.cancelled, 'The caller left'));
    }
    await sleep(settleMs);
  },
);

Then('{int} stale data path call has asked for a slot', (count: number) => {
  assert.equal(entered, count);
  assert.equal(node!.upstream!.runs.total, count);
});
