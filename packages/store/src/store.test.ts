import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {hashToUint32, seededRandom, STORE_CODES} from '@verbenabeam/core';
import type {MeshError} from '@verbenabeam/core';
import {testSeed} from '@verbenabeam/testing';
import type {Result} from 'true-myth';
import {Breaker} from './breaker.js';
import {ManualClock} from './fakes/manual-clock.js';
import {maxValueBytes} from './fakes/memory-state.js';
import {MemoryStore} from './fakes/memory-store.js';
import {settledPut} from './settled-put.js';
import {StoreBudget} from './store-budget.js';
import type {TxnOutcome, WatchEvent} from './store.js';

let clock: ManualClock;
let store: MemoryStore;
let outcome: Result<TxnOutcome, MeshError>;
const key = '/verbenabeam/test';

/** Runs a promise on the manual clock. */
async function run<T>(promise: Promise<T>): Promise<T> {
  const state = {done: false};
  const ended = promise.finally(() => (state.done = true));
  for (let i = 0; i < 1_000 && !state.done; i++) await clock.advance(10);
  return ended;
}

const put = (options = {}) =>
  settledPut(
    store,
    {key, revision: 0, body: {n: 1}, operationId: 'op-1'},
    {sleep: clock.sleep, ...options},
  );
const foreign = (revision: number) =>
  store.state.txn({
    compares: [{key, revision}],
    puts: [{key, value: Buffer.from('{"operationId":"other"}')}],
  });

Given('a memory store', () => {
  clock = new ManualClock();
  store = new MemoryStore({clock, sleep: clock.sleep});
});

When(
  'the memory store loses the next {int} responses and a settled put runs',
  async (n: number) => {
    store.faults.loseResponses = n;
    outcome = await run(put());
  },
);

Then('the settled put is committed and the key was written 1 time', () => {
  assert.ok(outcome.isOk && outcome.value.committed);
  const entry = store.state.range(key, false)[0]!;
  assert.equal(entry.revision, entry.createRevision);
});

When(
  'the memory store loses the next {int} responses and another writer is first',
  async (n: number) => {
    foreign(store.state.range(key, false)[0]!.revision);
    store.faults.loseResponses = n;
    outcome = await run(put({immutable: true}));
  },
);

Then('the settled put reports a conflict', () => {
  assert.ok(outcome.isOk && !outcome.value.committed);
});

When(
  'a settled put times out before its write reaches the memory store',
  async () => {
    store.faults.writeMs = 400;
    const result = run(put({timeoutMs: 50}));
    store.faults.writeMs = 400;
    outcome = await result;
    await clock.advance(1_000);
  },
);

When(
  'the memory store loses a response and another writer replaces the key',
  async () => {
    store.faults.loseResponses = 1;
    const result = put();
    await clock.advance(1);
    foreign(store.state.range(key, false)[0]!.revision);
    outcome = await run(result);
  },
);

Then('the settled put has an unknown outcome', () => {
  assert.ok(outcome.isErr);
  assert.equal(outcome.error.code, STORE_CODES.unknownOutcome);
});

Then('the memory store fails as not applied while it is down', async () => {
  store.setDown(true);
  const res = await store.get(key);
  assert.ok(res.isErr && res.error.code === STORE_CODES.unavailable);
  assert.equal(store.counts.get, 1);
  store.setDown(false);
});

Then('the memory store rejects calls over its rate', async () => {
  store.faults.limit = new StoreBudget({role: 'all', callsPerSecond: 2});
  const results = [await store.get(key), await store.get(key)];
  assert.ok(results.every(r => r.isOk));
  assert.ok((await store.get(key)).isErr);
  store.faults.limit = null;
});

Then(
  'the memory store deletes the keys of an expired lease and reports it',
  async () => {
    const events: WatchEvent[] = [];
    const onEvent = (e: WatchEvent) => events.push(e);
    const end = new AbortController();
    const watch = {key, fromRevision: 0, onEvent, signal: end.signal};
    const ended = store.watch(watch);
    const lease = (await store.grantLease(1_000)).unwrapOr('');
    const puts = [{key, value: Buffer.from('x'), lease}];
    await store.txn({compares: [], puts});
    await clock.advance(900);
    assert.ok((await store.keepAlive(lease)).unwrapOr(false));
    await clock.advance(900);
    assert.ok((await store.get(key)).unwrapOr(null));
    await clock.advance(200);
    assert.equal((await store.get(key)).unwrapOr(undefined!), null);
    assert.equal((await store.keepAlive(lease)).unwrapOr(true), false);
    assert.deepEqual(
      events.map(e => e.type),
      ['put', 'delete'],
    );
    end.abort();
    assert.ok((await ended).isOk);
  },
);

Then(
  'the memory store returns to an older state and ends its watches',
  async () => {
    const image = store.state.image();
    foreign(0);
    const {signal} = new AbortController();
    const onEvent = () => undefined;
    const ended = store.watch({key, fromRevision: 0, onEvent, signal});
    store.state.restore(image);
    assert.ok((await ended).isErr);
    assert.equal((await store.get(key)).unwrapOr(undefined!), null);
  },
);

Then('the memory store rejects a value over 1 MB', async () => {
  const value = new Uint8Array(maxValueBytes + 1);
  const res = await store.txn({compares: [], puts: [{key, value}]});
  assert.ok(res.isErr && res.error.code === STORE_CODES.rejected);
});

let breakers: Breaker[];

Given('store breakers with {int} seeds', (n: number) => {
  breakers = Array.from({length: n}, () => new Breaker());
});

When('the store breakers see {int} failures', (n: number) => {
  breakers.forEach((breaker, i) => {
    // The first output of small neighbouring seeds is almost equal.
    const seed = hashToUint32(`${String(testSeed())}/${String(i)}`);
    const random = seededRandom(seed);
    for (let f = 0; f < n; f++) breaker.onFailure(0, random);
  });
});

Then(
  'the store breakers refuse calls for waits spread over 0 to {int} ms',
  (bound: number) => {
    const waits = breakers.map(b => b.openUntil);
    assert.ok(waits.every(w => w >= 0 && w <= bound));
    const early = waits.filter(w => w < bound / 2).length;
    assert.ok(early > waits.length * 0.3 && early < waits.length * 0.7);
    assert.ok(breakers.every(b => !b.allow(0)));
  },
);

Then('each store breaker admits exactly one trial call and then closes', () => {
  for (const breaker of breakers) {
    assert.ok(breaker.allow(200));
    assert.ok(!breaker.allow(200));
    breaker.onSuccess();
    assert.ok(breaker.allow(200) && breaker.allow(200));
  }
});

let budget: StoreBudget;
let share = 0;

Given('a store budget of {int} calls per second', (callsPerSecond: number) => {
  share = callsPerSecond;
  budget = new StoreBudget({role: 'relay', callsPerSecond: () => share});
});

When(
  'the store budget is shared by {int} times as many nodes',
  (times: number) => (share /= times),
);

Then(
  'the store budget admits {int} of {int} calls spread over 2 seconds',
  (admitted: number, calls: number) => {
    const times = Array.from(
      {length: calls},
      (_, i) => (i * 2_000) / (calls - 1),
    );
    const taken = times.filter(t => budget.tryTake(t)).length;
    assert.ok(Math.abs(taken - admitted) <= 1, `admitted ${String(taken)}`);
  },
);
