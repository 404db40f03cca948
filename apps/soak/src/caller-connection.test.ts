import assert from 'node:assert/strict';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {BreakingPeer} from '@verbenabeam/platform/fakes';
import {CallerConnection} from './caller-connection.js';
import {CALL_ENDS} from './call.js';
import type {Call, CallEnd} from './call.js';
import {LinkProxy} from './link-proxy.js';

const deadlineMs = 1_000;
const linkHost = '127.0.0.1';

let peer: BreakingPeer | null = null;
let link: LinkProxy | null = null;
let address = '';
let ends: CallEnd[] = [];

After({tags: '@soak'}, () => {
  link?.stop();
  peer?.stop();
  peer = link = null;
});

Given(
  /^a soak peer that sends an answer without a length and then (.+)$/,
  async (how: string) => {
    peer = await BreakingPeer.start(how);
    ({address} = peer);
  },
);

Given('a soak link to it with a delay of {int} ms', async (delayMs: number) => {
  const target = address;
  link = new LinkProxy(() => target);
  link.set(linkHost, {delayMs});
  address = await link.start(linkHost, 0);
});

When('a soak caller calls it {int} times', async (count: number) => {
  ends = [];
  for (let i = 0; i < count; i++) ends.push(await callPeer(`call-${i}`));
});

Then('each of these soak calls is {string}', (end: string) => {
  assert.deepEqual([...new Set(ends)], [end], ends.join(', '));
});

function callPeer(id: string): Promise<CallEnd> {
  const [host = '', port] = address.split(':');
  return new Promise(resolve => {
    const connection = new CallerConnection(host, Number(port), {
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
