import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {runProcess} from '../../../scripts/lib/environment.mjs';

const refused = 1604;
const cancelled = 1612;
let lines: {code?: number}[] = [];

When(
  '{int} lines of refusals and one of another result are logged at once',
  async (count: number) => {
    const script = `
      import {createLogSink} from './apps/hosted-node/dist/log-sink.js';
      const log = createLogSink('a');
      for (let i = 0; i < ${count}; i++) log.write('calls', 'x', {code: ${refused}});
      log.write('calls', 'x', {code: ${cancelled}});
      log.flush();`;
    const ended = await runProcess(['--input-type=module', '-e', script]);
    assert.equal(ended.status, 0, ended.err);
    lines = ended.out
      .trim()
      .split('\n')
      .map(line => JSON.parse(line) as {code?: number});
  },
);

Then('the structured log holds the line of the other result', () => {
  assert.ok(lines.some(({code}) => code === cancelled));
});

Then(
  'the structured log holds at most {int} lines of refusals',
  (most: number) => {
    assert.ok(lines.filter(({code}) => code === refused).length <= most);
  },
);
