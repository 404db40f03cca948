import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {MOVE_CODES} from '@verbenabeam/core';
import {emptyCounts} from './evidence.js';
import type {Evidence} from './evidence.js';
import {FakeStore} from './test/fake-store.js';
import {MoveController} from './move-controller.js';
import type {MovePlan} from './move-transitions.js';
import {MOVE_POLICIES} from './move-policy.js';
import {decodeRecord} from './move-record.js';
import type {MoveRecord} from './move-record.js';
import type {MoveStop} from './move-stop.js';
import {moveKey} from './move-store.js';

const plan: MovePlan = {
  moveId: 'm1',
  service: 'redelivery',
  from: 'v1',
  to: 'v2',
  startAt: null,
  deadlineAt: 3_600_000,
  routes: ['files'],
};

let store: FakeStore;
let controllers: MoveController[];
let now: number;
let operations: number;
let stops: MoveStop[];
let seen: Map<string, MoveRecord>;
let stepAtOutage: number;

function newController(nodeId: string): MoveController {
  const newId = () => `op${String(operations++)}`;
  const policy = MOVE_POLICIES.fast;
  const environment = 'trial';
  return new MoveController({store, environment, nodeId, newId, policy});
}

/**
 * Evidence of one second with 1,000 calls, split by the share of the record.
 */
function evidence(record: MoveRecord, failing: boolean): Evidence {
  const calls = Math.round(1_000 * record.share);
  const failures = failing ? calls : 0;
  const from = {...emptyCounts(), calls: 1_000 - calls};
  const to = {...emptyCounts(), calls, failures};
  const cells = [{route: 'files', level: 1, from, to}];
  return {moveId: 'm1', step: record.step, cells, crashes: [], cleared: []};
}

async function tick(controller: MoveController, failing: boolean) {
  const record = controller.record('m1');
  if (record) controller.addEvidence([evidence(record, failing)], now);
  const output = await controller.tick({
    now,
    wallTime: now,
    plans: [plan],
    capacityShare: () => 1,
  });
  stops.push(...output.stops);
  for (const r of output.records) seen.set(r.operationId, r);
}

async function tickFor(seconds: number, failing: readonly boolean[]) {
  for (let i = 0; i < seconds; i++) {
    now += 1_000;
    for (const [nth, controller] of controllers.entries()) {
      await tick(controller, failing[nth] ?? false);
    }
  }
}

async function stored(): Promise<MoveRecord> {
  const entry = (await store.get(moveKey('trial', 'm1'))).unwrapOr(null);
  return decodeRecord(entry!.value)!;
}

Given('a move controller with its store', () => {
  store = new FakeStore();
  now = 0;
  operations = 0;
  stops = [];
  seen = new Map();
  controllers = [newController('n0')];
});

Given(
  'a second move controller that also believes it holds the lease',
  async () => {
    await tickFor(1, [false]);
    // The first holder renews after 3 s; until then, both believe they hold it.
    store.expireAll();
    controllers.push(newController('n1'));
    await tickFor(1, [false]);
    for (const c of controllers) assert.ok(c.record('m1'));
  },
);

When(
  /^the move controller ticks for ([\d,]+) s with (clean|failing) evidence$/,
  (seconds: string, kind: string) =>
    tickFor(Number(seconds.replace(',', '')), [kind === 'failing']),
);

When(
  'both move controllers tick for 1,000 s and one sees failures',
  async () => {
    // The store renews the lease for any caller, so both controllers keep
    // writing.
    store.keepAlive = () => store.get('none').then(r => r.map(() => true));
    await tickFor(40, [false, false]);
    await tickFor(960, [false, true]);
  },
);

When('the store of the move controller goes down', async () => {
  stepAtOutage = (await stored()).step;
  store.down = true;
});

When('the store of the move controller comes back', () => {
  // The lease expires during the outage; the fake store has no clock.
  store.expireAll();
  store.down = false;
});

When('the next write of the move controller loses its response', async () => {
  await tickFor(30, [false]);
  store.writeFaults.push('lostResponse');
});

When('the next write of the move controller is lost', async () => {
  await tickFor(30, [false]);
  store.writeFaults.push('lostRequest');
});

When('an operator takes the move back at the move controller', () => {
  assert.ok(controllers[0]!.requestTakeBack('m1', 'ana', now).isOk);
});

Then('the move controller made no step during the outage', () => {
  assert.equal(controllers[0]!.record('m1')!.step, stepAtOutage);
});

Then('the move controller sent exactly one stop', () => {
  assert.equal(stops.length, 1);
});

Then(
  'the stored move is {string} with a reason that contains {string}',
  async (state: string, words: string) => {
    const record = await stored();
    assert.equal(record.state, state, JSON.stringify(record));
    assert.ok(record.reason.includes(words), record.reason);
  },
);

Then('no stored move share more than doubled', () => {
  const shares = [...seen.values()].map(r => r.share);
  shares.forEach((share, i) => {
    const before = Math.max(0.005, shares[i - 1] ?? 0);
    assert.ok(share <= 2 * before, `${String(before)} to ${String(share)}`);
  });
});

Then('each stored move step was written once', async () => {
  const steps = [...seen.values()].map(r => r.step);
  assert.equal(new Set(steps).size, steps.length);
  assert.equal((await stored()).step, Math.max(...steps));
});

Then('each reported move record was stored', () => {
  const records = store.committed.map(decodeRecord);
  const operationIds = new Set(records.map(r => r?.operationId));
  for (const id of seen.keys()) assert.ok(operationIds.has(id), id);
});

Then('both move controllers report the same decision', () => {
  const [a, b] = controllers.map(c => c.record('m1'));
  assert.equal(a!.state, 'takenBack');
  assert.deepEqual(a, b);
});

Then('a second take-back at the move controller is refused with 1802', () => {
  const refused = controllers[0]!.requestTakeBack('m1', 'rui', now);
  assert.equal(refused.isErr && refused.error.code, MOVE_CODES.alreadyDecided);
});
