import assert from 'node:assert/strict';
import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {isCompleteSuccess, StrictCaller} from '@verbenabeam/platform/fakes';
import type {StrictReply} from '@verbenabeam/platform/fakes';
import {processScene} from './flooding-upstream.test.js';

const stepTimeoutMs = 40_000;
/** Longer than the scenario. */
const deadlineMs = 30_000;

/** Time in which the answer has passed the node as far as the system takes it. */
const passOnMs = 1_000;

let replies: StrictReply[] = [];
let wholeBytes = 0;

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
  const wrong = replies.filter(isCompleteSuccess);
  assert.deepEqual(wrong, [], `${wrong.length} of ${replies.length}`);
});

Given(
  'its upstream ends an answer of {int} bytes with its connection',
  (partBytes: number) => {
    wholeBytes = partBytes;
    const {faults} = processScene().server;
    Object.assign(faults, {unframed: 1, partBytes});
  },
);

When(
  'a caller that reads nothing is sent that answer and the hosted node process is killed',
  {timeout: stepTimeoutMs},
  async () => {
    const {ports, node} = processScene();
    const request = {id: 'unread', path: '/a', deadlineMs};
    const caller = new StrictCaller(ports.callers, request);
    caller.pause();
    await sleep(passOnMs);
    await node.kill();
    caller.resume();
    replies = [await caller.reply];
  },
);

Then('that caller has all of the answer or no complete success', () => {
  const [reply] = replies;
  const hasAll = (reply?.bodyBytes ?? 0) >= wholeBytes;
  assert.ok(hasAll || !reply?.isComplete, JSON.stringify(reply));
});
