import assert from 'node:assert/strict';
import {Given, Then} from '@cucumber/cucumber';
import {CLAIM_CODES, Invariants} from '@verbenabeam/core';
import {ManualClock, MemoryStore} from '@verbenabeam/store/fakes';
import type {ClaimLimits} from './claim-limits.js';
import {ClaimOwner} from './claim-owner.js';

const hourMs = 60 * 60 * 1_000;
const partition = 3;
const firstSegment = '/3/000000000001';
let clock: ManualClock;
let store: MemoryStore;
let owner: ClaimOwner;

function newOwner(limits: Partial<ClaimLimits> = {}): ClaimOwner {
  const invariants = new Invariants(true);
  const {sleep} = clock;
  const environment = 'production';
  return new ClaimOwner({store, environment, clock, sleep, invariants, limits});
}

function setUp(): void {
  clock = new ManualClock();
  store = new MemoryStore({clock, sleep: clock.sleep});
  owner = newOwner();
}

async function run<T>(promise: Promise<T>, mostMs = 5_000): Promise<T> {
  const state = {done: false};
  void promise.finally(() => (state.done = true));
  for (let ms = 0; ms < mostMs && !state.done; ms += 5) await clock.advance(5);
  assert.ok(state.done, `the call must end within ${String(mostMs)} ms`);
  return promise;
}

async function begin(
  claim: string,
  callId: string,
  by = owner,
  mostMs = 5_000,
) {
  const req = {partition, claim, callId, holdMs: 1_000};
  const reply = await run(by.begin(req), mostMs);
  return reply.isOk ? reply.value.state : reply.error.code.code;
}

async function finish(
  claim: string,
  callId: string,
  outcome: 'ran' | 'notRun',
) {
  const req = {partition, claim, callId, outcome, answer: null};
  const reply = await run(owner.finish(req));
  return reply.isOk ? 'recorded' : reply.error.code.code;
}

const hasFirstSegment = () =>
  store.state.range('/', true).some(({key}) => key.endsWith(firstSegment));

// Guards against 64 partitions per node that load a store that is recovering.
Given(
  'a claim owner whose append is cut off by an outage of {int} s',
  async (seconds: number) => {
    setUp();
    assert.equal(await begin('before', 'c1'), 'granted');
    await clock.advance(1_000);
    store.faults.writeMs = 100;
    const cutOff = begin('cut-off', 'c1');
    await clock.advance(20);
    store.setDown(true);
    store.counts.get = 0;
    assert.equal(await cutOff, CLAIM_CODES.unavailable.code);
    // A read happens only while some request waits or the append is open.
    await clock.advance(seconds * 1_000);
  },
);

Then(
  'the claim owner has read the store at most {int} times',
  (most: number) => {
    const {get} = store.counts;
    assert.ok(get >= 50 && get <= most, `${String(get)} reads`);
  },
);

Then(
  'a claim after the outage is granted within {int} s',
  async (seconds: number) => {
    store.setDown(false);
    store.faults.writeMs = 5;
    const state = await begin('after', 'c1', owner, seconds * 1_000);
    assert.equal(state, 'granted');
  },
);

// Guards against a store that fills up, and against keys that never free up.
Given(
  'a claim owner with a claim that has ended {int} hours less 1 s ago',
  async (hours: number) => {
    setUp();
    assert.equal(await begin('old', 'c1'), 'granted');
    assert.equal(await finish('old', 'c1', 'ran'), 'recorded');
    await clock.advance(hours * hourMs - 1_000 - clock.now());
  },
);

Then('the claim is finished and its segment remains', async () => {
  assert.equal(await begin('old', 'c2'), 'finished');
  assert.equal(await begin('other', 'c1'), 'granted');
  assert.ok(hasFirstSegment());
});

Then(
  '2 s later the claim is granted again and its segment is removed',
  async () => {
    await clock.advance(2_000);
    assert.equal(await begin('old', 'c3'), 'granted');
    assert.ok(!hasFirstSegment());
    assert.equal(await begin('old', 'c4', newOwner()), 'inProgress');
  },
);

Then(
  'a full claim partition has room again {int} hours later',
  async (hours: number) => {
    // A partition in use keeps its table, so that the memory is freed too.
    const used = newOwner({maxClaims: 2});
    assert.equal(await begin('x', 'c1', used), 1706);
    await clock.advance(hours * hourMs + 1_000);
    assert.equal(await begin('x', 'c1', used), 'granted');
  },
);

// Guards against a finish that is lost, so that a repetition is "may have run".
Given(
  'a claim owner that has loaded a partition before another owner grants',
  async () => {
    setUp();
    assert.equal(await begin('first', 'c1'), 'granted');
    const other = newOwner();
    assert.equal(await begin('moved', 'c1', other), 'granted');
    assert.equal(await begin('freed', 'c1', other), 'granted');
  },
);

Then("the claim owner records the end of the other owner's claim", async () => {
  // The release comes first: no append has shown the other owner yet.
  assert.equal(await finish('freed', 'c1', 'notRun'), 'recorded');
  assert.equal(await begin('freed', 'c2', newOwner()), 'granted');
  assert.equal(await finish('moved', 'c1', 'ran'), 'recorded');
  assert.equal(await begin('moved', 'c2', newOwner()), 'finished');
});

Then(
  'a claim that ran without a grant is finished for another call',
  async () => {
    assert.equal(await finish('restored', 'c1', 'ran'), 'recorded');
    assert.equal(await finish('restored', 'c1', 'ran'), 'recorded');
    assert.equal(await begin('restored', 'c2', newOwner()), 'finished');
  },
);

Then("the end of another call's claim is refused", async () => {
  const {code} = CLAIM_CODES.notHeld;
  assert.equal(await begin('held', 'c1'), 'granted');
  assert.equal(await finish('held', 'c2', 'ran'), code);
  assert.equal(await finish('held', 'c2', 'notRun'), code);
  assert.equal(await begin('held', 'c3', newOwner()), 'inProgress');
});

Then('the release of an unknown claim is refused', async () => {
  const {code} = CLAIM_CODES.notHeld;
  assert.equal(await finish('unknown', 'c1', 'notRun'), code);
  assert.equal(await finish('restored', 'c1', 'notRun'), code);
});
