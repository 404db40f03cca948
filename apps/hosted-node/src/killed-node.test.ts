import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {StrictCaller, waitUntil} from '@verbenabeam/platform/fakes';
import type {StrictReply} from '@verbenabeam/platform/fakes';
import {ProcessScene, unbundledProgram} from './test/process-scene.js';

const stepTimeoutMs = 40_000;
const answerWithinMs = 2_000;
/** Longer than the scenario. */
const pauseMs = 30_000;
/** Time in which the first part has passed the node. */
const passOnMs = 500;

let scene: ProcessScene | null = null;
let answer: Promise<StrictReply> | null = null;

After({tags: '@hosted', timeout: stepTimeoutMs}, async () => {
  await scene?.stop();
  scene = answer = null;
});

Given(
  'a hosted node process whose upstream ends answers with their connection',
  {timeout: stepTimeoutMs},
  async () => {
    scene = await ProcessScene.serving([unbundledProgram], {
      timeoutMs: pauseMs,
    });
  },
);

Given(
  'its upstream has sent {int} bytes of an answer and works on',
  async (bytes: number) => {
    const {server, ports} = scene!;
    Object.assign(server.faults, {unframed: 1, partBytes: bytes, pauseMs});
    const runs = server.runs.length;
    const request = {id: 'unframed', path: '/a', deadlineMs: pauseMs};
    answer = new StrictCaller(ports.callers, request).reply;
    const hasRun = () => server.runs.length > runs;
    await waitUntil(hasRun, answerWithinMs, 'run');
    await sleep(passOnMs);
  },
);

When('the hosted node process is killed', () => scene!.node.kill());

Then('its caller has no complete answer', async () => {
  const found = await answer!;
  assert.equal(found.isComplete, false, JSON.stringify(found));
});
