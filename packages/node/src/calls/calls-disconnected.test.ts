import assert from 'node:assert/strict';
import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import {Worker} from 'node:worker_threads';
import {After, Given, Then, When} from '@cucumber/cucumber';
import type {DisconnectingCallers} from './test/disconnecting-callers.js';
import {blockEventLoop} from './test/block-event-loop.js';
import {TestNode} from './test/test-node.js';

const program = new URL('test/disconnecting-callers.js', import.meta.url);
/** Other work in each turn of the event loop after the block, in ms. */
const turnMs = 3;
/** Turns in which the node reads what arrived during the block. */
const turns = 300;
let node: TestNode | null = null;

After({tags: '@calls'}, async () => {
  await node?.stop();
  node = null;
});

Given('a data path node whose callers each open a connection', async () => {
  node = new TestNode('disconnected', []);
  await node.start({slots: 100});
  node.sendTo(node);
});

When(
  '{int} callers send a call and disconnect after {int} ms while its event loop is blocked for {int} ms',
  async (count: number, staysMs: number, blockMs: number) => {
    const port = Number(new URL(node!.url).port);
    const callers: DisconnectingCallers = {port, count, connectedMs: staysMs};
    const worker = new Worker(program, {workerData: callers});
    await once(worker, 'online');
    const ended = once(worker, 'exit');
    worker.postMessage('start');
    blockEventLoop(blockMs);
    for (let i = 0; i < turns; i++) {
      await new Promise(resolve => setImmediate(resolve));
      blockEventLoop(turnMs);
    }
    await ended;
    await sleep(turnMs);
  },
);

Then('no data path attempt was made for those callers', () => {
  const records = node!.log.latest(node!.log.size);
  const forwarded = records.filter(({attempts}) => attempts.length > 0);
  assert.equal(forwarded.length, 0, `${forwarded.length} calls were forwarded`);
});
