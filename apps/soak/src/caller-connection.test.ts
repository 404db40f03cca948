import assert from 'node:assert/strict';
import {once} from 'node:events';
import net from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {CallerConnection} from './caller-connection.js';
import {CALL_ENDS} from './call.js';
import type {Call, CallEnd} from './call.js';

const host = '127.0.0.1';
const deadlineMs = 1_000;
const resetAfterMs = 50;
const text = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody of ';

/** What follows the answer, by its name in the scenarios. */
const breaks: Readonly<Record<string, (socket: Socket) => void>> = {
  ends: socket => socket.end(text),
  'resets at once': socket => {
    socket.write(text, () => socket.resetAndDestroy());
  },
  'resets after 50 ms': socket => {
    socket.write(text);
    setTimeout(() => socket.resetAndDestroy(), resetAfterMs);
  },
};

let peer: net.Server | null = null;
let ends: CallEnd[] = [];

After({tags: '@soak'}, () => {
  peer?.close();
  peer = null;
});

Given(
  /^a soak peer that sends an answer without a length and then (.+)$/,
  async (how: string) => {
    const breakOff = breaks[how];
    assert.ok(breakOff, how);
    peer = net.createServer(socket => {
      socket.once('data', () => breakOff(socket));
    });
    await once(peer.listen(0, host), 'listening');
  },
);

When('a soak caller calls it {int} times', async (count: number) => {
  const {port} = peer!.address() as AddressInfo;
  ends = [];
  for (let i = 0; i < count; i++) ends.push(await callPeer(port, `call-${i}`));
});

Then('each of these soak calls is {string}', (end: string) => {
  assert.deepEqual([...new Set(ends)], [end], ends.join(', '));
});

function callPeer(port: number, id: string): Promise<CallEnd> {
  return new Promise(resolve => {
    const connection = new CallerConnection(host, port, {
      onAnswer: () => resolve(CALL_ENDS.answered),
      onEnd: (_, end) => resolve(end),
      onGarbage: (_, message) => assert.fail(message),
    });
    connection.send(newCall(id), deadlineMs);
  });
}

function newCall(id: string): Call {
  return {
    id,
    entry: 1,
    path: '/safe/a',
    bodyBytes: 0,
    isOnce: false,
    sentAt: performance.now(),
    endAt: Infinity,
    end: null,
    status: 0,
    ranAt: [],
  };
}
