import assert from 'node:assert/strict';
import {once} from 'node:events';
import net from 'node:net';
import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {AcceptDelayMonitor} from './accept-delay-monitor.js';
import {CallWaits} from './call-waits.js';
import type {WaitPlace} from './call-waits.js';
import {blockEventLoop} from './test/block-event-loop.js';

const everyMs = 20;
const pollMs = 20;
let server: net.Server | null = null;
let end = new AbortController();
let sockets: net.Socket[] = [];
let watch: AcceptDelayMonitor | null = null;
let longestMs = 0;

After({tags: '@calls'}, () => {
  end.abort();
  for (const socket of sockets) socket.destroy();
  sockets = [];
  server?.close();
  server = null;
});

Given(
  'a watched listener whose turns take {int} ms for each connection',
  async (ms: number) => {
    end = new AbortController();
    longestMs = 0;
    server = net.createServer(socket => {
      sockets.push(socket);
      socket.on('error', () => undefined);
      blockEventLoop(ms);
      longestMs = Math.max(longestMs, watch?.waitMs ?? 0);
    });
    watch = new AcceptDelayMonitor(server, {everyMs});
    await once(server.listen(0, '127.0.0.1'), 'listening');
    watch.start(end.signal);
  },
);

When(
  '{int} callers connect to the watched listener at once',
  async (count: number) => {
    const {port} = server!.address() as AddressInfo;
    const connected = Array.from({length: count}, () => {
      const socket = net.connect(port, '127.0.0.1');
      sockets.push(socket);
      return once(socket, 'connect');
    });
    await Promise.all(connected);
  },
);

Then(
  'the watched listener has seen a wait of over {int} ms',
  async (ms: number) => {
    const until = performance.now() + 2_000;
    while (longestMs <= ms && performance.now() < until) await sleep(pollMs);
    assert.ok(longestMs > ms, `${longestMs} ms`);
  },
);

Then(
  'within {int} ms its wait is below {int} ms again',
  async (withinMs: number, ms: number) => {
    const until = performance.now() + withinMs;
    while (watch!.waitMs >= ms && performance.now() < until) {
      await sleep(pollMs);
    }
    assert.ok(watch!.waitMs < ms, `${watch!.waitMs} ms`);
  },
);

let waits = new CallWaits();

When(
  'calls wait {int}, {int} and {int} ms for a connection to their upstream',
  (a: number, b: number, c: number) => {
    waits = new CallWaits();
    for (const ms of [a, b, c]) waits.record('connection', 'id', ms);
  },
);

Then(
  '{int} long waits are counted for {string}',
  (count: number, place: string) => {
    assert.equal(waits.counts.get(place as WaitPlace), count);
  },
);
