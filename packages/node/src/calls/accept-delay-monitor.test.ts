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
let monitor: AcceptDelayMonitor | null = null;
let longestMs = 0;

After({tags: '@calls'}, () => {
  end.abort();
  for (const socket of sockets) socket.destroy();
  sockets = [];
  server?.close();
  server = null;
});

Given(
  'an accept delay monitor on a server that spends {int} ms on each connection',
  async (ms: number) => {
    end = new AbortController();
    longestMs = 0;
    server = net.createServer(socket => {
      sockets.push(socket);
      socket.on('error', () => undefined);
      blockEventLoop(ms);
      longestMs = Math.max(longestMs, monitor?.waitMs ?? 0);
    });
    monitor = new AcceptDelayMonitor(server, {everyMs});
    await once(server.listen(0, '127.0.0.1'), 'listening');
    monitor.start(end.signal);
  },
);

When(
  '{int} callers connect to the server of the accept delay monitor at once',
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
  'the accept delay monitor has reported a wait of over {int} ms',
  async (ms: number) => {
    const until = performance.now() + 2_000;
    while (longestMs <= ms && performance.now() < until) await sleep(pollMs);
    assert.ok(longestMs > ms, `${longestMs} ms`);
  },
);

Then(
  'within {int} ms the accept delay monitor reports a wait below {int} ms again',
  async (withinMs: number, ms: number) => {
    const until = performance.now() + withinMs;
    while (monitor!.waitMs >= ms && performance.now() < until) {
      await sleep(pollMs);
    }
    assert.ok(monitor!.waitMs < ms, `${monitor!.waitMs} ms`);
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
