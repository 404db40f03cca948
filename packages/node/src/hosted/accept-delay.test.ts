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
import type {
  CallerWorkerData,
  CallerWorkerResult,
} from './test/caller-worker.js';

const workerUrl = new URL('test/caller-worker.js', import.meta.url);
/** Minimum number of callers for a valid run. */
const minCallers = 7;
let server: Server | null = null;
let result: CallerWorkerResult | null = null;

After({tags: '@hosted'}, () => {
  server?.close();
  server?.closeAllConnections();
  server = null;
});

Given('a caller listener that responds at once', async () => {
  server = createServer((_req, res) => void res.end());
  const listened = await listen(server, '127.0.0.1:0', callerBacklog);
  assert.ok(listened.isOk);
});

When(
  'callers with a timeout of {int} ms connect every {int} ms while its event loop iterations take {int} ms for {int} ms',
  async (
    timeoutMs: number,
    intervalMs: number,
    iterationMs: number,
    durationMs: number,
  ) => {
    const {port} = server!.address() as AddressInfo;
    const workerData: CallerWorkerData = {
      port,
      intervalMs,
      timeoutMs,
      durationMs,
    };
    const worker = new Worker(workerUrl, {workerData});
    let hasEnded = false;
    const counted = once(worker, 'message').then(([counts]) => {
      hasEnded = true;
      return counts as CallerWorkerResult;
    });
    while (!hasEnded) {
      await new Promise(resolve => setImmediate(resolve));
      blockEventLoop(iterationMs);
    }
    result = await counted;
  },
);

Then(
  'no period of {int} ms passes without a response to a caller',
  (windowMs: number) => {
    const {callers, longestGapMs} = result!;
    assert.ok(callers >= minCallers, `${callers} callers`);
    assert.ok(longestGapMs < windowMs, `${Math.round(longestGapMs)} ms`);
  },
);
