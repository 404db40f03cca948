import assert from 'node:assert/strict';
import {After, Given, Then} from '@cucumber/cucumber';
import {waitUntil} from '@verbenabeam/platform/fakes';
import {runProcess} from '../../../scripts/lib/environment.mjs';
import {askNode} from './test/ask-node.js';
import {ProcessScene} from './test/process-scene.js';

const ageMs = 60_000;
/** Longer than the time limit of the step, so that the first one decides. */
const heartbeatMs = 5_000;
const stepTimeoutMs = 30_000;

let scene: ProcessScene | null = null;

After({tags: '@hosted', timeout: stepTimeoutMs}, async () => {
  await scene?.stop();
  scene = null;
});

Given(
  'the bundle runs as it is deployed beside a server that has run for a minute',
  {timeout: stepTimeoutMs},
  async () => {
    const bundled = await runProcess(['scripts/bundle.mjs']);
    assert.equal(bundled.status, 0, bundled.err);
    scene = await ProcessScene.create();
    scene.configure();
    scene.server.bornAt = Date.now() - ageMs;
    await scene.startNode(['target/verbenabeam.mjs']);
  },
);

Then(
  'within {int} ms after a configuration a request is answered by that server',
  {timeout: stepTimeoutMs},
  async (withinMs: number) => {
    const {store, server, ports} = scene!;
    const {callers, control} = ports;
    // The node knows its configuration once it refuses for want of an instance.
    await waitUntil(() => store.calls.has('GET /kv-range'), 5_000, 'read');
    server.beatTo(control, heartbeatMs);
    const isAnswered = async () => (await askNode(callers, 'q')) === 200;
    await waitUntil(isAnswered, withinMs, 'answered');
    assert.equal(server.runs.length, 1);
  },
);
