import assert from 'node:assert/strict';
import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import {Then, When} from '@cucumber/cucumber';
import {StrictCaller} from '@verbenabeam/platform/fakes';
import type {StrictReply} from '@verbenabeam/platform/fakes';
import {processScene} from './flooding-upstream.test.js';

const stepTimeoutMs = 40_000;
/** Longer than the scenario. */
const deadlineMs = 30_000;
const firstErrorStatus = 300;

let replies: StrictReply[] = [];

When(
  /^(\d+) callers wait for that answer and the hosted node process gets (SIGKILL|SIGABRT|SIGTERM) after (\d+) ms$/,
  {timeout: stepTimeoutMs},
  async (count: string, signal: NodeJS.Signals, afterMs: string) => {
    const {ports, node, server} = processScene();
    const callers = Array.from({length: Number(count)}, (_, i) => {
      const request = {id: `endless-${i}`, path: '/flood', deadlineMs};
      return new StrictCaller(ports.callers, request);
    });
    await sleep(Number(afterMs));
    assert.ok(server.floods.answers > 0, 'no answer has begun');
    const ended = once(node.child, 'exit');
    node.child.kill(signal);
    await ended;
    replies = await Promise.all(callers.map(({reply}) => reply));
  },
);

Then('no caller of an endless answer has a complete success', () => {
  assert.ok(replies.length > 0);
  const wrong = replies.filter(
    ({status, isComplete}) => isComplete && status < firstErrorStatus,
  );
  assert.deepEqual(wrong, [], `${wrong.length} of ${replies.length}`);
});
