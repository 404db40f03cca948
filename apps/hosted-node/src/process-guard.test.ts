import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {runProcess} from '../../../scripts/lib/environment.mjs';
import {ProcessGuard} from './process-guard.js';

const msPerSecond = 1_000;
const faults: Readonly<Record<string, string>> = {
  'an uncaught exception': "throw new Error('broken')",
  'an unhandled rejection': "void Promise.reject(new Error('broken'))",
};
let counted = 0;
let ended = 0;
let output = '';
let status: number | null = null;

When(
  'a guarded process meets {int} errors within {int} s',
  (count: number, seconds: number) => {
    counted = 0;
    ended = 0;
    let now = 0;
    const guard = new ProcessGuard({
      onError: () => counted++,
      onTooMany: () => ended++,
      now: () => now,
    });
    for (let i = 0; i < count; i++) {
      guard.handle(new Error('test'));
      now += (seconds * msPerSecond) / count;
    }
  },
);

Then(
  'the guarded process goes on and has counted {int} errors',
  (count: number) => {
    assert.equal(ended, 0);
    assert.equal(counted, count);
  },
);

Then('the guarded process ends once', () => {
  assert.equal(ended, 1);
});

When(
  /^a process with a guard meets (an uncaught exception|an unhandled rejection)$/,
  async (error: string) => {
    const script = `
      import {setLogSink} from '@verbenabeam/core';
      import {ProcessGuard} from './apps/hosted-node/dist/process-guard.js';
      setLogSink((part, message, fields) => console.log(message, fields?.err));
      const nothing = () => undefined;
      new ProcessGuard({onError: nothing, onTooMany: nothing}).install();
      setTimeout(() => { ${faults[error]}; }, 1);
      setTimeout(() => console.log('still runs'), 50);`;
    const run = await runProcess(['--input-type=module', '-e', script]);
    output = run.out;
    status = run.status;
  },
);

Then('it goes on and logs the error', () => {
  assert.equal(status, 0);
  assert.match(output, /Unexpected error.*broken/);
  assert.match(output, /still runs/);
});
