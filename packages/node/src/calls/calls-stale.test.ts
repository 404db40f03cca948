import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {CALL_CODES, MeshError, WIRE_CODES} from '@verbenabeam/core';
import type {RequestOptions} from '@verbenabeam/wire';
import {Result} from 'true-myth';
import {Attempt} from './attempt.js';
import type {CallHead} from './call-head.js';
import type {EntryPorts} from './entry-ports.js';
import {localStreamPair} from './local-stream.js';
import {EventLoopMonitor} from './event-loop-monitor.js';
import type {ReplayBody} from './replay-body.js';
import {TestNode} from './test/test-node.js';

const settleMs = 150;
const laterCallbacks = 50;
const remainingMs = 1_000;
let node: TestNode | null = null;
let slotRequests = 0;

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
  slotRequests = 0;
  const {admission} = node;
  const enter = admission.enter.bind(admission);
  admission.enter = () => {
    slotRequests++;
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
  '{int} stale data path calls arrive together with their cancellation',
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
    // The cancellations are read in the same turn of the event loop, by later callbacks.
    for (let i = 0; i < laterCallbacks; i++) await Promise.resolve();
    for (const own of streams) {
      own.reset(new MeshError(CALL_CODES.cancelled, 'The caller left'));
    }
    await sleep(settleMs);
  },
);

Then('{int} stale data path call has requested a slot', (count: number) => {
  assert.equal(slotRequests, count);
  assert.equal(node!.upstream!.runs.total, count);
});

let openOptions: RequestOptions | null = null;

When('a stale data path attempt is aborted while its stream opens', () => {
  openOptions = null;
  const ports = {
    instances: {began: () => undefined, ended: () => undefined},
    bus: {
      openStreamNow: () => null,
      openStream: (
        _peer: string,
        _kind: string,
        _head: unknown,
        options: RequestOptions,
      ) => {
        openOptions = options;
        return new Promise(resolve => {
          options.signal?.addEventListener('abort', () => {
            const err = new MeshError(WIRE_CODES.unreachable, 'aborted');
            resolve(Result.err(err));
          });
        });
      },
    },
  } as unknown as EntryPorts;
  const body = {detach: () => undefined} as unknown as ReplayBody;
  const target = {nodeId: 'far', address: '127.0.0.1:1', local: false};
  const listener = {
    onHead: () => undefined,
    onChunk: () => undefined,
    onEnd: () => undefined,
    onFailure: () => undefined,
  };
  const attempt = new Attempt(ports, target, head('far'), body, listener);
  attempt.start();
  const left = new MeshError(CALL_CODES.cancelled, 'The caller left');
  attempt.abort(left, 'cancelled');
});

Then('the stale data path stream was not opened', () => {
  assert.equal(openOptions?.signal?.aborted, true);
});

When(
  'its event loop was late by {int} ms and {int} calls are cancelled {int} ms after they arrive',
  async (lateMs: number, count: number, endMs: number) => {
    node!.loop.lateMs = lateMs;
    const streams = [];
    for (let i = 0; i < count; i++) streams.push(serveStale(`late-${i}`));
    await sleep(endMs);
    for (const own of streams) {
      own.reset(new MeshError(CALL_CODES.cancelled, 'The caller left'));
    }
    await sleep(settleMs);
  },
);

When(
  'its event loop was late by {int} ms and a call with a deadline of {int} ms arrives',
  async (lateMs: number, leftMs: number) => {
    assert.equal(leftMs, remainingMs);
    node!.loop.lateMs = lateMs;
    serveStale('expired').end();
    await sleep(settleMs);
  },
);

When(
  'a call with a deadline of {int} ms arrives after a transit time of {int} ms',
  async (leftMs: number, ageMs: number) => {
    assert.equal(leftMs, remainingMs);
    serveStale('delayed', ageMs).end();
    await sleep(settleMs);
  },
);

function serveStale(callId: string, ageMs = 0) {
  const [own, serving] = localStreamPair();
  Object.defineProperty(serving, 'ageMs', {value: ageMs});
  const ignore = () => undefined;
  own.listen({onChunk: ignore, onEnd: ignore, onReset: ignore});
  node!.serving.serve(head(callId), serving);
  return own;
}

let loopNow = 0;
let watch = new EventLoopMonitor(() => loopNow);

When('a watched event loop is blocked for {int} ms', (ms: number) => {
  loopNow = 0;
  watch = new EventLoopMonitor(() => loopNow);
  loopNow += ms;
  watch.tick();
});

Then(
  'the watched event loop is late by {int} ms for {int} ms',
  (lateMs: number, forMs: number) => {
    assert.equal(watch.lateMs, lateMs);
    loopNow += forMs;
    assert.equal(watch.lateMs, lateMs);
    loopNow += 1;
    assert.equal(watch.lateMs, 0);
  },
);
