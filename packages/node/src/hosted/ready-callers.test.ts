import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer} from 'node:http';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {Worker} from 'node:worker_threads';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {blockEventLoop} from '../calls/test/block-event-loop.js';
import {listen} from '../listen.js';
import {callerBacklog} from './caller-connections.js';
import type {ShortCallers, ShortCallersSeen} from './test/short-callers.js';

const program = new URL('test/short-callers.js', import.meta.url);
/** Callers that must have tried for a span to count. */
const leastCallers = 7;
let server: Server | null = null;
let seen: ShortCallersSeen | null = null;

After({tags: '@hosted'}, () => {
  server?.close();
  server?.closeAllConnections();
  server = null;
});

Given('a listener for callers that answers at once', async () => {
  server = createServer((_req, res) => void res.end());
  const listened = await listen(server, '127.0.0.1:0', callerBacklog);
  assert.ok(listened.isOk);
});

When(
  'callers that stay for {int} ms come each {int} ms while its turns take {int} ms for {int} ms',
  async (staysMs: number, everyMs: number, turnMs: number, forMs: number) => {
    const {port} = server!.address() as AddressInfo;
    const workerData: ShortCallers = {port, everyMs, staysMs, forMs};
    const worker = new Worker(program, {workerData});
    let isOver = false;
    const counted = once(worker, 'message').then(([counts]) => {
      isOver = true;
      return counts as ShortCallersSeen;
    });
    while (!isOver) {
      await new Promise(resolve => setImmediate(resolve));
      blockEventLoop(turnMs);
    }
    seen = await counted;
  },
);

Then(
  'no span of {int} ms passed without a caller that got its answer',
  (spanMs: number) => {
    const {callers, longestGapMs} = seen!;
    assert.ok(callers >= leastCallers, `${callers} callers`);
    assert.ok(longestGapMs < spanMs, `${Math.round(longestGapMs)} ms`);
  },
);
