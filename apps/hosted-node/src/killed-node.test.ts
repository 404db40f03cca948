import assert from 'node:assert/strict';
import http from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {testHost, waitUntil} from '@verbenabeam/platform/fakes';
import {ProcessScene, unbundledProgram} from './test/process-scene.js';

const stepTimeoutMs = 40_000;
const answerWithinMs = 2_000;
/** Longer than the scenario. */
const pauseMs = 30_000;
/** Time in which the first part has passed the node. */
const passOnMs = 500;

/** What the caller got. */
interface Answer {
  readonly status: number;
  readonly bytes: number;
  /** Whether the answer is complete by the rules of HTTP. */
  readonly isComplete: boolean;
}

let scene: ProcessScene | null = null;
let answer: Promise<Answer> | null = null;

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
    answer = ask(ports.callers);
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

function ask(address: string): Promise<Answer> {
  const headers = {
    host: testHost,
    'request-id': 'unframed',
    'deadline-ms': String(pauseMs),
  };
  return new Promise(resolve => {
    const req = http.get(`http://${address}/a`, {headers, agent: false});
    const none = {status: 0, bytes: 0, isComplete: false};
    req.on('error', () => resolve(none));
    req.on('response', res => {
      let bytes = 0;
      const status = res.statusCode ?? 0;
      res.on('data', (piece: Buffer) => (bytes += piece.length));
      res.on('error', () => resolve({status, bytes, isComplete: false}));
      res.on('end', () => resolve({status, bytes, isComplete: res.complete}));
    });
  });
}
