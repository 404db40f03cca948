import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {nativeProtocol} from '../calls/native-protocol.js';
import {nativeSample} from './test/native-sample.js';
import {WarmUp} from './warm-up.js';

const settleMs = 100;
/** Exceeds the time that a warm-up waits for the node to be idle. */
const quietMs = 2_000;
const stepTimeoutMs = 20_000;
const socketKinds: ReadonlySet<string> = new Set([
  'TCPSocketWrap',
  'TCPServerWrap',
]);

let warmUp: WarmUp | null = null;
let isIdle = true;
let end = new AbortController();
let socketsBefore = 0;
let endedAfterMs = 0;

Given('a warm-up of at most {int} calls', (maxCalls: number) => {
  isIdle = true;
  end = new AbortController();
  socketsBefore = openSockets();
  warmUp = new WarmUp({
    protocol: nativeProtocol,
    sample: nativeSample,
    isIdle: () => isIdle,
    signal: end.signal,
    maxCalls,
  });
});

When('the warm-up runs', {timeout: stepTimeoutMs}, async () => {
  await warmUp?.run();
});

When(
  'the node of the warm-up gets a call after {int} ms',
  {timeout: stepTimeoutMs},
  (ms: number) => endAfter(ms, () => (isIdle = false)),
);

When(
  'the node of the warm-up stops after {int} ms',
  {timeout: stepTimeoutMs},
  (ms: number) => endAfter(ms, () => end.abort()),
);

When(
  'the node of the warm-up has a call from {int} to {int} ms',
  {timeout: stepTimeoutMs},
  async (fromMs: number, toMs: number) => {
    const running = warmUp?.run();
    await sleep(fromMs);
    isIdle = false;
    await sleep(toMs - fromMs);
    isIdle = true;
    await Promise.race([running, sleep(quietMs)]);
    end.abort();
    await running;
  },
);

Then('the warm-up made {int} calls', (calls: number) => {
  assert.equal(warmUp?.calls, calls);
});

Then('the warm-up made at least {int} calls', (least: number) => {
  assert.ok(warmUp && warmUp.calls >= least, `${warmUp?.calls} calls`);
});

Then('the warm-up ended within {int} ms', (mostMs: number) => {
  assert.ok(endedAfterMs <= mostMs, `${endedAfterMs} ms`);
});

Then('the warm-up left no socket open', async () => {
  await sleep(settleMs);
  assert.ok(openSockets() <= socketsBefore, `${openSockets()} are open`);
});

async function endAfter(ms: number, stop: () => void): Promise<void> {
  const running = warmUp?.run();
  await sleep(ms);
  stop();
  const stoppedAt = performance.now();
  await running;
  endedAfterMs = performance.now() - stoppedAt;
}

function openSockets(): number {
  const open = process.getActiveResourcesInfo();
  return open.filter(kind => socketKinds.has(kind)).length;
}
