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

/** Worker thread that opens connections at once and counts the established ones. */
const workerSource = `
  const net = require('node:net');
  const {parentPort, workerData: {port, count, waitMs}} = require('node:worker_threads');
  let connected = 0;
  parentPort.once('message', () => {
    for (let i = 0; i < count; i++) {
      const socket = net.connect(port, '127.0.0.1', () => connected++);
      socket.on('error', () => undefined);
    }
    setTimeout(() => {
      parentPort.postMessage(connected);
      process.exit();
    }, waitMs);
  });`;
/** Share of the stall after which the worker counts, while the loop is blocked. */
const countAfterRatio = 0.6;

let server: Server | null = null;
let connected = 0;

After({tags: '@hosted'}, () => {
  server?.close();
  server?.closeAllConnections();
  server = null;
});

Given('a caller listener with the listen backlog of a node', async () => {
  server = createServer();
  const listened = await listen(server, '127.0.0.1:0', callerBacklog);
  assert.ok(listened.isOk);
});

When(
  '{int} callers connect to the caller listener while its event loop is blocked for {int} ms',
  async (count: number, stallMs: number) => {
    const {port} = server!.address() as AddressInfo;
    const workerData = {port, count, waitMs: stallMs * countAfterRatio};
    const worker = new Worker(workerSource, {eval: true, workerData});
    await once(worker, 'online');
    const counted = once(worker, 'message');
    worker.postMessage('start');
    blockEventLoop(stallMs);
    [connected] = (await counted) as [number];
  },
);

Then(
  'at most {int} of the callers are connected before the event loop continues',
  (most: number) => {
    assert.ok(connected > 0 && connected <= most, `${connected} connected`);
  },
);
