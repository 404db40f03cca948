import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {setTimeout as sleep} from 'node:timers/promises';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {runProcess} from '../../../scripts/lib/environment.mjs';
import {askNode} from './test/ask-node.js';
import {ProcessScene} from './test/process-scene.js';

const stepTimeoutMs = 40_000;
const calmMs = 1_000;
const watchMs = 3_000;
const pauseMs = 20;
const bundle = 'target/verbenabeam.mjs';

/** Answers in place of a usual one, by what is odd about them. */
const oddAnswers: Readonly<Record<string, string>> = {
  'a status of 000': 'HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n',
  'a status of 99': 'HTTP/1.1 099 OK\r\nContent-Length: 0\r\n\r\n',
  'an upgrade nobody wanted':
    'HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n',
};

let scene: ProcessScene | null = null;
let longestMs = 0;

After({tags: '@hosted', timeout: stepTimeoutMs}, async () => {
  await scene?.stop();
  scene = null;
});

Given(
  'the bundle runs as it is deployed, with a timeout of {int} ms',
  {timeout: stepTimeoutMs},
  async (timeoutMs: number) => {
    const {status, err} = await runProcess(['scripts/bundle.mjs']);
    assert.equal(status, 0, err);
    scene = await ProcessScene.serving([bundle], {timeoutMs});
  },
);

When(
  /^its upstream answers a call with (.+) while (\d+) callers keep calling it$/,
  {timeout: stepTimeoutMs},
  async (answer: string, count: string) => {
    const {server, ports} = scene!;
    const bytes = oddAnswers[answer];
    assert.ok(bytes !== undefined, answer);
    const end = performance.now() + calmMs + watchMs;
    longestMs = 0;
    const keepCalling = async (caller: number) => {
      for (let i = 0; performance.now() < end; i++) {
        const startAt = performance.now();
        await askNode(ports.callers, `caller-${caller}-${i}`);
        longestMs = Math.max(longestMs, performance.now() - startAt);
        await sleep(pauseMs);
      }
    };
    const callers = Array.from({length: Number(count)}, (_, i) =>
      keepCalling(i),
    );
    await sleep(calmMs);
    server.faults.rawAnswer = bytes;
    await Promise.all(callers);
    assert.equal(server.faults.rawAnswer, '', 'the odd answer was not sent');
  },
);

Then(
  'no call of these callers waited more than {int} ms',
  (limitMs: number) => {
    const found = `${Math.round(longestMs)} ms\n${scene!.node.log}`;
    assert.ok(longestMs <= limitMs, found);
  },
);

Then('it takes assertions without a message from its own module', () => {
  const require = createRequire(`${process.cwd()}/scripts/`);
  const ok = require('./bundle-assert.cjs') as typeof assert;
  assert.throws(() => ok(false), {
    name: 'AssertionError',
    message: 'The value of an assertion is falsy',
  });
  assert.throws(() => ok.strict.ok(0, 'with a text'), {message: 'with a text'});
  assert.throws(() => ok.strictEqual(1, 2), {name: 'AssertionError'});
  const text = readFileSync('target/verbenabeam.bundle.js', 'utf8');
  const modules = text.match(/[\w$]\("(node:)?assert(\/strict)?"\)/g) ?? [];
  assert.equal(modules.length, 1);
});
