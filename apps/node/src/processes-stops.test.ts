import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {waitUntil} from '../../../scripts/lib/environment.mjs';
import type {Started} from '../../../scripts/lib/environment.mjs';
import {fleet, newFleet} from './test/current-fleet.js';
import type {SeenCall} from './test/steady-load.js';

const msPerSecond = 1_000;
/** A quarter of the rate at which the upstream is expected to take them. */
const leastRuns = 5;
const stopTimeoutMs = 20_000;
/** P8: a leaving upstream gets no new request after this time. */
const leaveBoundMs = 3_000;
/** A body of 20 pieces, 100 ms apart, which is longer than the stop takes. */
const streamPath = '/read/stream?bytes=200000&chunks=20&gap=100';

let streams: Promise<SeenCall>[] = [];
let stopped: Started | null = null;
let stoppedTarget = '';
let stoppedAt = 0;
/** Time that the leaving upstream goes on taking requests. */
let lingerMs = 0;

Given(
  'a process fleet of {int} instances whose upstreams take requests for {int} s after leaving, under a load of {int} calls a second',
  async (count: number, seconds: number, callsPerSecond: number) => {
    lingerMs = seconds * msPerSecond;
    await newFleet().start(count, ['--linger-ms', String(lingerMs)]);
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

When(
  'process fleet node {int} is told to stop again after {int} ms',
  async (_: number, afterMs: number) => {
    await sleep(afterMs);
    stopped?.child.kill('SIGTERM');
  },
);

/**
 * The streams make the picker avoid some upstreams for seconds. One that gets no
 * requests would pass without being told to leave, so the busiest one stops.
 */
When('the busiest process fleet upstream is told to stop', async () => {
  const busiest = () =>
    fleet()
      .members.map(instance => ({
        instance,
        runs: runsBefore(instance.upstream?.child.pid, Date.now()).length,
      }))
      .sort((a, b) => b.runs - a.runs)[0];
  await waitUntil(
    () => (busiest()?.runs ?? 0) >= leastRuns,
    `an upstream takes ${leastRuns} requests in a second`,
  );
  const leaving = busiest()?.instance;
  assert.ok(leaving?.upstream);
  stopped = leaving.upstream;
  stoppedTarget = leaving.node.info['callers'] ?? '';
  stopped.child.kill('SIGTERM');
});

/** Requests that an upstream ran in the time before. */
function runsBefore(pid: number | undefined, at: number, spanMs = msPerSecond) {
  return fleet()
    .runLog()
    .filter(line => line.pid === pid && line.event === 'run')
    .filter(run => run.at < at && run.at >= at - spanMs);
}

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

Then('the leaving process fleet upstream ends by itself with status 0', () =>
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
    assert.deepEqual(await fleet().withAttempts(failed), []);
  },
);

Then(
  'the leaving process fleet upstream ran requests just before it left',
  () => {
    const {left} = runsOfLeaving();
    // The announcement of leaving may take a part of the second.
    const before = runsBefore(stopped?.child.pid, left, 2 * msPerSecond);
    assert.ok(before.length >= leastRuns, `${before.length} runs`);
  },
);

/** Without these calls the next check could hold with nothing to refuse. */
Then(
  'process fleet callers sent its node at least {int} calls later than 3 s after, while it took requests',
  (least: number) => {
    const {left} = runsOfLeaving();
    const sent = fleet().load.seen.filter(
      call =>
        call.target === stoppedTarget &&
        call.sentAt > left + leaveBoundMs &&
        call.sentAt < left + lingerMs,
    );
    assert.ok(sent.length >= least, `${sent.length} calls`);
  },
);

Then(
  'the leaving process fleet upstream ran no request later than 3 s after it left',
  () => {
    const {left, runs} = runsOfLeaving();
    const late = runs.filter(run => run.at > left + leaveBoundMs);
    assert.deepEqual(late, []);
  },
);

/** When the stopped upstream said that it leaves, and what it ran. */
function runsOfLeaving() {
  const pid = stopped?.child.pid;
  const lines = fleet()
    .runLog()
    .filter(line => line.pid === pid);
  const left = lines.find(line => line.event === 'leaving');
  assert.ok(left, 'the upstream did not say that it leaves');
  return {left: left.at, runs: lines.filter(line => line.event === 'run')};
}
