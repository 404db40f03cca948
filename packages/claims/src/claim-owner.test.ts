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

async function advanceUntilDone<T>(
  promise: Promise<T>,
  maxMs = 5_000,
): Promise<T> {
  const state = {done: false};
  void promise.finally(() => (state.done = true));
  for (let ms = 0; ms < maxMs && !state.done; ms += 5) await clock.advance(5);
  assert.ok(state.done, `the promise must settle within ${String(maxMs)} ms`);
  return promise;
}

async function begin(
  claim: string,
  callId: string,
  claimOwner = owner,
  maxMs = 5_000,
) {
  const req = {partition, claim, callId, holdMs: 1_000};
  const reply = await advanceUntilDone(claimOwner.begin(req), maxMs);
  return reply.isOk ? reply.value.state : reply.error.code.code;
}

async function finish(
  claim: string,
  callId: string,
  outcome: 'ran' | 'notRun',
) {
  const req = {partition, claim, callId, outcome, answer: null};
  const reply = await advanceUntilDone(owner.finish(req));
  return reply.isOk ? 'recorded' : reply.error.code.code;
}

const hasFirstSegment = () =>
  store.state.range('/', true).some(({key}) => key.endsWith(firstSegment));

// Guards against the reads of 64 partitions per node, which could overload a
// store that recovers from an outage.
Given(
  'a claim owner whose append is interrupted by a store outage of {int} s',
  async (seconds: number) => {
    setUp();
    assert.equal(await begin('before', 'c1'), 'granted');
    await clock.advance(1_000);
    store.faults.writeMs = 100;
    const interruptedBegin = begin('cut-off', 'c1');
    await clock.advance(20);
    store.setDown(true);
    store.counts.get = 0;
    assert.equal(await interruptedBegin, CLAIM_CODES.unavailable.code);
    // The owner reads as long as the outcome of the append is unknown, also after
    // its begin has timed out.
    await clock.advance(seconds * 1_000);
  },
);

Then(
  'the claim owner has read from the store at most {int} times',
  (maxReads: number) => {
    const {get} = store.counts;
    assert.ok(get >= 50 && get <= maxReads, `${String(get)} reads`);
  },
);

Then(
  'a claim after the store outage is granted within {int} s',
  async (seconds: number) => {
    store.setDown(false);
    store.faults.writeMs = 5;
    const state = await begin('after', 'c1', owner, seconds * 1_000);
    assert.equal(state, 'granted');
  },
);

// Guards against a store that fills up, and against idempotency keys that can
// never be used again.
Given(
  'a claim owner with a claim that finished {int} hours less 1 s ago',
  async (hours: number) => {
    setUp();
    assert.equal(await begin('old', 'c1'), 'granted');
    assert.equal(await finish('old', 'c1', 'ran'), 'recorded');
    await clock.advance(hours * hourMs - 1_000 - clock.now());
  },
);

Then(
  'the expiring claim is still finished and its segment remains',
  async () => {
    assert.equal(await begin('old', 'c2'), 'finished');
    assert.equal(await begin('other', 'c1'), 'granted');
    assert.ok(hasFirstSegment());
  },
);

Then(
  '2 s later the expired claim is granted again and its segment is removed',
  async () => {
    await clock.advance(2_000);
    assert.equal(await begin('old', 'c3'), 'granted');
    assert.ok(!hasFirstSegment());
    assert.equal(await begin('old', 'c4', newOwner()), 'inProgress');
  },
);

Then(
  'a full claim partition accepts claims again {int} hours later',
  async (hours: number) => {
    // The partition state is not evicted while it is in use, so its table must
    // evict the expired claims.
    const fullOwner = newOwner({maxClaims: 2});
    assert.equal(await begin('x', 'c1', fullOwner), 1706);
    await clock.advance(hours * hourMs + 1_000);
    assert.equal(await begin('x', 'c1', fullOwner), 'granted');
  },
);

// Guards against a lost finish, after which a repetition of the request gets
// "may have run" although the outcome is known.
Given(
  'a claim owner whose partition state is older than grants of another owner',
  async () => {
    setUp();
    assert.equal(await begin('first', 'c1'), 'granted');
    const other = newOwner();
    assert.equal(await begin('moved', 'c1', other), 'granted');
    assert.equal(await begin('freed', 'c1', other), 'granted');
  },
);

Then(
  "the claim owner records the outcome of the other owner's claim",
  async () => {
    // The release comes first, since this owner has not yet had a conflict with
    // the other owner, which would reload its state.
    assert.equal(await finish('freed', 'c1', 'notRun'), 'recorded');
    assert.equal(await begin('freed', 'c2', newOwner()), 'granted');
    assert.equal(await finish('moved', 'c1', 'ran'), 'recorded');
    assert.equal(await begin('moved', 'c2', newOwner()), 'finished');
  },
);

Then(
  'a claim that ran without a grant is finished for another call',
  async () => {
    assert.equal(await finish('restored', 'c1', 'ran'), 'recorded');
    assert.equal(await finish('restored', 'c1', 'ran'), 'recorded');
    assert.equal(await begin('restored', 'c2', newOwner()), 'finished');
  },
);

Then('the outcome of a claim that another call holds is refused', async () => {
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
