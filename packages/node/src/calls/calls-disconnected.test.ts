import assert from 'node:assert/strict';
import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import {Worker} from 'node:worker_threads';
import {After, Given, Then, When} from '@cucumber/cucumber';
import type {DisconnectingCallers} from './test/disconnecting-callers.js';
import {blockEventLoop} from './test/block-event-loop.js';
import {TestNode} from './test/test-node.js';

const program = new URL('test/disconnecting-callers.js', import.meta.url);
/** Other work in a turn of the event loop after it stood still. */
const turnMs = 3;
/** Turns in which the node reads what has arrived meanwhile. */
const turns = 300;
let node: TestNode | null = null;

After({tags: '@calls'}, async () => {
  await node?.stop();
  node = null;
});

Given(
  'a data path node that callers reach over connections of their own',
  async () => {
    node = new TestNode('left', []);
    await node.start({slots: 100});
    node.sendTo(node);
  },
);

When(
  '{int} callers send a call and leave after {int} ms while its event loop stands still for {int} ms',
  async (count: number, staysMs: number, stallMs: number) => {
    const port = Number(new URL(node!.url).port);
    const callers: DisconnectingCallers = {port, count, connectedMs: staysMs};
    const worker = new Worker(program, {workerData: callers});
    await once(worker, 'online');
    const ended = once(worker, 'exit');
    worker.postMessage('start');
    blockEventLoop(stallMs);
    for (let i = 0; i < turns; i++) {
      await new Promise(resolve => setImmediate(resolve));
      blockEventLoop(turnMs);
    }
    await ended;
    await sleep(turnMs);
  },
);

Then('no attempt was made for the calls of those callers', () => {
  const records = node!.log.latest(node!.log.size);
  const sent = records.filter(({attempts}) => attempts.length > 0);
  assert.equal(sent.length, 0, `${sent.length} calls were sent on`);
});
