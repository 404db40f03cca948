import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {waitUntil} from '../../../scripts/lib/environment.mjs';
import {fleet} from './test/current-fleet.js';
import {fleetDocument} from './test/fleet-document.js';
import type {SeenCall} from './test/steady-load.js';

const claimUnavailable = 1702;
const recoveryMs = 20_000;

const isWrite = (call: SeenCall) => call.method === 'POST';

When('the process fleet store is down', async () => {
  await fleet().controlStore('faults', {down: 'reset'});
});

When('the process fleet store is back', async () => {
  await fleet().controlStore('faults', {down: 'no'});
});

async function assertSubmitRefused(code: RegExp): Promise<void> {
  const before = await fleet().versions();
  const {status, err} = await fleet().submit(fleetDocument({timeout: '4s'}), 2);
  assert.notEqual(status, 0);
  assert.match(err, code);
  assert.deepEqual(await fleet().versions(), before);
}

Then(
  'a process fleet submit is refused with a 13xx code and nothing changes',
  () => assertSubmitRefused(/^error 13\d\d /),
);

Then('a process fleet submit is refused with 1205 and nothing changes', () =>
  assertSubmitRefused(/^error 1205 /),
);

Then(
  'process fleet reads go on while keyed writes are refused with 1702 as not run',
  async () => {
    const from = Date.now();
    await fleet().load.untilAnswered(120);
    const seen = fleet().load.seen.filter(call => call.sentAt >= from);
    const reads = seen.filter(call => !isWrite(call));
    const writes = seen.filter(isWrite);
    assert.deepEqual(
      reads.filter(call => !call.ok),
      [],
    );
    assert.ok(writes.length > 0);
    assert.deepEqual(
      writes.filter(call => call.code !== claimUnavailable || !call.notRun),
      [],
    );
  },
);

Then(
  'a process fleet submit succeeds and every node holds version {int}',
  async (version: number) => {
    const changed = fleetDocument({timeout: '3s'});
    await waitUntil(
      async () => (await fleet().submit(changed, 2)).status === 0,
      'a submit succeeds',
      recoveryMs,
    );
    await fleet().untilAllHold(version);
  },
);

Then('process fleet keyed writes succeed again', async () => {
  const {load} = fleet();
  await waitUntil(
    () => load.seen.slice(-40).every(call => call.ok),
    'forty calls in a row succeed',
    recoveryMs,
  );
  await load.stop();
});

Then('each refused process fleet write had no run', () => {
  const runs = fleet().runsByKey();
  const refused = fleet().load.seen.filter(call => call.notRun);
  assert.ok(refused.length > 0);
  for (const {key} of refused) {
    if (key !== null) assert.equal(runs.get(key) ?? 0, 0, key);
  }
});

When('the process fleet store loses the response of a submit', async () => {
  // Claims of the load must not use up the lost response.
  fleet().load.readsOnly = true;
  await fleet().load.untilAnswered(40);
  await fleet().controlStore('faults', {loseResponses: 1});
  const {status, err} = await fleet().submit(fleetDocument({timeout: '4s'}));
  assert.equal(status, 0, err);
});

Then('no process fleet read failed', async () => {
  await fleet().load.stop();
  const reads = fleet().load.seen.filter(call => !isWrite(call));
  assert.ok(reads.length > 0);
  assert.deepEqual(
    reads.filter(call => !call.ok),
    [],
  );
});

When(
  'the process fleet store is restored to a state before version 2',
  async () => {
    await fleet().controlStore('save');
    const {status, err} = await fleet().submit(fleetDocument({timeout: '3s'}));
    assert.equal(status, 0, err);
    await fleet().untilAllHold(2);
    await fleet().controlStore('restore');
  },
);

Then(
  'process fleet status shows alarm {int} and every node holds version {int}',
  async (code: number, version: number) => {
    await waitUntil(async () => {
      const all = await Promise.all(
        fleet().members.map(member => fleet().statusOf(member)),
      );
      return all.some(({alarms}) => alarms.some(a => a.code === code));
    }, `status shows ${code}`);
    assert.ok((await fleet().versions()).every(held => held === version));
  },
);
