import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import type {Started} from '../../../scripts/lib/environment.mjs';
import {fleet, newFleet} from './test/current-fleet.js';
import type {SeenCall} from './test/steady-load.js';

const stopTimeoutMs = 20_000;
/** P8: a leaving upstream gets no new request after this time. */
const leaveBoundMs = 3_000;
/** A body of 20 pieces, 100 ms apart, which is longer than the stop takes. */
const streamPath = '/read/stream?bytes=200000&chunks=20&gap=100';

let streams: Promise<SeenCall>[] = [];
let stopped: Started | null = null;
let stoppedTarget = '';
let stoppedAt = 0;

Given(
  'a process fleet of {int} instances whose upstreams take requests for {int} s after leaving, under a load of {int} calls a second',
  async (count: number, seconds: number, callsPerSecond: number) => {
    const linger = String(seconds * 1_000);
    await newFleet().start(count, ['--linger-ms', linger]);
    await fleet().begin(callsPerSecond);
  },
);

Given(
  '{int} process fleet streams run through each node',
  async (count: number) => {
    streams = fleet()
      .callers()
      .flatMap(target =>
        Array.from({length: count}, () =>
          fleet().load.send(target, {method: 'GET', path: streamPath}),
        ),
      );
    await fleet().load.untilAnswered(20);
  },
);

When('process fleet node {int} is told to stop', (number: number) => {
  const {node} = fleet().instance(number);
  stopped = node;
  stoppedTarget = node.info['callers'] ?? '';
  stoppedAt = Date.now();
  node.child.kill('SIGTERM');
  // New calls go elsewhere, as a caller's own balancer would send them.
  const others = fleet().callers();
  fleet().load.aim(others.filter(target => target !== stoppedTarget));
});

When('process fleet upstream {int} is told to stop', (number: number) => {
  const {upstream} = fleet().instance(number);
  assert.ok(upstream);
  stopped = upstream;
  upstream.child.kill('SIGTERM');
});

async function assertEnded(): Promise<void> {
  assert.ok(stopped);
  const ended = await Promise.race([
    stopped.exited.then(() => true),
    sleep(stopTimeoutMs, false, {ref: false}),
  ]);
  assert.ok(ended, 'the process did not end');
  assert.equal(stopped.child.exitCode, 0);
}

Then('process fleet node {int} ends by itself with status 0', (_: number) =>
  assertEnded(),
);

Then('process fleet upstream {int} ends by itself with status 0', (_: number) =>
  assertEnded(),
);

Then('each process fleet stream is whole', async () => {
  const seen = await Promise.all(streams);
  assert.ok(seen.length > 0);
  assert.deepEqual(
    seen.filter(call => !call.ok),
    [],
  );
});

Then(
  'no process fleet call failed but refusals of the stopped node as not run',
  async () => {
    await fleet().load.untilAnswered(80);
    await fleet().load.stop();
    const isRefusal = (call: SeenCall) =>
      call.target === stoppedTarget && call.notRun && call.endedAt >= stoppedAt;
    const failed = fleet().load.failed.filter(call => !isRefusal(call));
    assert.deepEqual(failed, []);
  },
);

Then(
  'process fleet upstream {int} ran requests before it left and none later than 3 s after',
  (_: number) => {
    const pid = stopped?.child.pid;
    const lines = fleet()
      .runLog()
      .filter(line => line.pid === pid);
    const left = lines.find(line => line.event === 'leaving');
    assert.ok(left, 'the upstream did not say that it leaves');
    const runs = lines.filter(line => line.event === 'run');
    assert.ok(runs.some(run => run.at < left.at));
    const late = runs.filter(run => run.at > left.at + leaveBoundMs);
    assert.deepEqual(late, []);
  },
);
