import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {StrictCaller, waitUntil} from '@verbenabeam/platform/fakes';
import type {ServerFaults} from '@verbenabeam/platform/fakes';
import {ProcessScene, unbundledProgram} from './test/process-scene.js';

const stepTimeoutMs = 40_000;
const stopWithinMs = 10_000;
const runWithinMs = 2_000;
/** Longer than the scenario. */
const longMs = 30_000;
/** Time in which a part of an answer has passed the node. */
const passOnMs = 500;
/** Bytes of an answer without a length beside its filler. */
const usualBytes = 'body of '.length + 'call-0'.length;
const ok = 200;
const tooManyErrorsStatus = 70;
const failOnSignal = './apps/hosted-node/dist/test/fail-on-signal.js';

let scene: ProcessScene | null = null;
let callers: StrictCaller[] = [];

After({tags: '@hosted', timeout: stepTimeoutMs}, async () => {
  for (const caller of callers) caller.leave();
  callers = [];
  await scene?.stop();
  scene = null;
});

Given(
  'a hosted node process whose upstream works longer than its stop lasts',
  {timeout: stepTimeoutMs},
  async () => {
    scene = await ProcessScene.serving([unbundledProgram], {timeoutMs: longMs});
  },
);

Given(
  'a hosted node process that fails on a signal',
  {timeout: stepTimeoutMs},
  async () => {
    const program = ['--import', failOnSignal, unbundledProgram];
    scene = await ProcessScene.serving(program, {timeoutMs: longMs});
  },
);

Given(
  /^(\d+) callers of it wait for their answers$/,
  {timeout: stepTimeoutMs},
  (count: string) => startCallers(Number(count), {workMs: longMs}),
);

Given(
  /^(\d+) callers of it wait for the rest of (\d+) bytes that it holds$/,
  {timeout: stepTimeoutMs},
  (count: string, partBytes: string) =>
    startCallers(Number(count), {
      unframed: Number(count),
      partBytes: Number(partBytes),
      pauseMs: longMs,
    }),
);

Given(
  '1 caller of it reads an answer in chunks that does not end',
  {timeout: stepTimeoutMs},
  () => startCallers(1, {endless: 'a body in chunks'}),
);

Given(
  '1 caller of it has paused in an answer of {int} bytes without a length',
  {timeout: stepTimeoutMs},
  async (bytes: number) => {
    await startCallers(1, {unframed: 1, partBytes: bytes - usualBytes}, true);
  },
);

When(
  'the hosted node process stops as planned',
  {timeout: stepTimeoutMs},
  stopNode,
);

When(
  'the hosted node process stops as planned and the paused caller reads on {int} ms later',
  {timeout: stepTimeoutMs},
  async (laterMs: number) => {
    const stopped = stopNode();
    await sleep(laterMs);
    for (const caller of callers) caller.resume();
    await stopped;
  },
);

When(
  'the hosted node process ends over its errors',
  {timeout: stepTimeoutMs},
  async () => {
    const {node} = scene!;
    node.child.kill('SIGUSR2');
    await waitUntil(() => node.hasEnded, stopWithinMs, 'ended');
    assert.equal(node.child.exitCode, tooManyErrorsStatus, node.end);
  },
);

When('the paused caller reads on', () => {
  for (const caller of callers) caller.resume();
});

Then('each of these callers has a whole answer of 502 or 503', async () => {
  for (const {status, isComplete} of await replies()) {
    assert.ok(isComplete, `${status} is not complete\n${scene!.node.end}`);
    assert.ok([502, 503].includes(status), `${status}\n${scene!.node.end}`);
  }
});

Then(
  'each of these callers has a whole answer of {int} bytes',
  async (bytes: number) => {
    const whole = {status: ok, bodyBytes: bytes, isComplete: true};
    for (const reply of await replies()) assert.deepEqual(reply, whole);
  },
);

Then('none of these callers has a complete answer', async () => {
  for (const {status, bodyBytes, isComplete} of await replies()) {
    const found = `${bodyBytes} bytes of ${status}\n${scene!.node.end}`;
    assert.equal(isComplete, false, found);
  }
});

/** Starts callers and waits until their parts of answers have passed the node. */
async function startCallers(
  count: number,
  faults: Partial<ServerFaults>,
  areSlow = false,
): Promise<void> {
  const {server, ports} = scene!;
  Object.assign(server.faults, faults);
  const runs = server.runs.length;
  callers = Array.from({length: count}, (_, i) => {
    const call = {id: `call-${i}`, path: '/a', deadlineMs: longMs};
    const caller = new StrictCaller(ports.callers, call);
    if (areSlow) caller.pause();
    return caller;
  });
  const haveRun = () => server.runs.length === runs + count;
  await waitUntil(haveRun, runWithinMs, 'run');
  await sleep(passOnMs);
}

async function stopNode(): Promise<void> {
  const {node} = scene!;
  node.child.kill('SIGTERM');
  await waitUntil(() => node.hasEnded, stopWithinMs, 'ended');
  assert.equal(node.child.exitCode, 0, node.end);
}

function replies() {
  return Promise.all(callers.map(({reply}) => reply));
}
