import assert from 'node:assert/strict';
import {once} from 'node:events';
import net from 'node:net';
import type {AddressInfo} from 'node:net';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {CrashDetector} from './crash-detector.js';
import type {LostRequest, OwnUpstream} from './serving-ports.js';
import {blockEventLoop} from './test/block-event-loop.js';

let server: net.Server | null = null;
let upstream: OwnUpstream | null = null;
let markedDown: string[] = [];
let suspects: (readonly LostRequest[])[] = [];

After({tags: '@calls'}, () => {
  server?.close();
  server = null;
});

Given(
  /^a crash detector for an upstream that (accepts|refuses) connections$/,
  async (kind: string) => {
    markedDown = [];
    suspects = [];
    server = net.createServer();
    await once(server.listen(0, '127.0.0.1'), 'listening');
    const {port} = server.address() as AddressInfo;
    if (kind === 'refuses') await once(server.close(), 'close');
    const address = `127.0.0.1:${port}`;
    upstream = {service: 'files', version: 'v1', address, state: 'ready'};
  },
);

When(
  'the connection of a request to the upstream is lost and the event loop blocks for {int} ms',
  async (ms: number) => {
    assert.ok(upstream);
    const detector = new CrashDetector({
      upstream: {
        current: () => upstream,
        markDown: reason => markedDown.push(reason),
      },
      quarantine: {
        active: false,
        admit: () => null,
        crashed: lost => suspects.push(lost),
        ended: () => undefined,
      },
    });
    const lost = {callId: 'c1', fingerprint: 'f1'};
    const decided = detector.onLost(lost, upstream);
    blockEventLoop(ms);
    await decided;
  },
);

Then('the upstream of the crash detector is not marked as down', () => {
  assert.deepEqual(markedDown, []);
});

Then('the crash detector passes no requests to the quarantine', () => {
  assert.deepEqual(suspects, []);
});

Then('the upstream of the crash detector is marked as down', () => {
  assert.equal(markedDown.length, 1);
});
