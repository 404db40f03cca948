import assert from 'node:assert/strict';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {hashToUint32, seededRandom, STORE_CODES} from '@verbenabeam/core';
import type {MeshError, ResultCode} from '@verbenabeam/core';
import {HttpStore, settledPut, systemSleep} from '@verbenabeam/store';
import type {Store, TxnOutcome, WatchEvent} from '@verbenabeam/store';
import {
  maxValueBytes,
  MemoryStore,
  SilentProxy,
} from '@verbenabeam/store/fakes';
import {testSeed} from '@verbenabeam/testing';
import type {Result} from 'true-myth';
import {startStoreStandin} from './store-standin.js';
import type {StoreStandin} from './store-standin.js';

let standin: StoreStandin;
let store: HttpStore;
let events: WatchEvent[];
let watchEnd: AbortController;
let watched: Promise<Result<true, MeshError>>;
let proxy: SilentProxy | null = null;
/** Time in which a watch is confirmed. */
const confirmMs = 500;
const pollMs = 50;
const key = '/verbenabeam/a';
const value = Buffer.from('value');
const absent = (k: string) => ({
  compares: [{key: k, revision: 0}],
  puts: [{key: k, value}],
});
const put = (k: string) => ({compares: [], puts: [{key: k, value}]});

function assertCode(res: Result<unknown, MeshError>, code: ResultCode): void {
  assert.ok(res.isErr, 'the call must fail');
  assert.equal(res.error.code.name, code.name);
}

async function control(path: string, body: unknown = {}): Promise<void> {
  const init = {method: 'POST', body: JSON.stringify(body)};
  const res = await fetch(`${standin.url}/control/${path}`, init);
  assert.equal(res.status, 200, await res.text());
}

Given('a store stand-in with an http store', async () => {
  standin = await startStoreStandin();
  store = new HttpStore({
    endpoints: [standin.url],
    timeoutMs: 500,
    watchIdleMs: 60,
    breaker: {failureThreshold: 100},
  });
});

After({tags: '@store-standin'}, async () => {
  await store.close();
  proxy?.stop();
  proxy = null;
  await standin.close();
});

Then(
  'the stand-in commits a transaction and reads its keys in order',
  async () => {
    const keys = ['/p/b', '/p/a', '/q'];
    const puts = keys.map(k => ({key: k, value}));
    const done = await store.txn({compares: [], puts});
    assert.ok(done.isOk && done.value.committed);
    const {revision} = done.value;
    const listed = (await store.list('/p/')).unwrapOr([]);
    assert.deepEqual(
      listed.map(e => [e.key, e.revision, String(e.value)]),
      [
        ['/p/a', revision, 'value'],
        ['/p/b', revision, 'value'],
      ],
    );
    const gone = await store.txn({compares: [], deletes: ['/p/a']});
    assert.ok(gone.isOk);
    assert.equal((await store.get('/p/a')).unwrapOr(undefined!), null);
  },
);

Then('the stand-in reports a conflict with the current entry', async () => {
  await store.txn(put(key));
  const res = await store.txn(absent(key));
  assert.ok(res.isOk && !res.value.committed);
  assert.deepEqual(
    res.value.current.map(e => e.key),
    [key],
  );
});

Then(
  'the stand-in rejects a value over 1 MB and an unknown lease',
  async () => {
    const large = {key, value: Buffer.alloc(maxValueBytes + 1)};
    const tooLarge = await store.txn({compares: [], puts: [large]});
    assertCode(tooLarge, STORE_CODES.rejected);
    const noLease = {key, value, lease: '999'};
    const unknown = await store.txn({compares: [], puts: [noLease]});
    assertCode(unknown, STORE_CODES.rejected);
  },
);

Then('the stand-in ends a lease by expiry and by revocation', async () => {
  const lease = (await store.grantLease(1_000)).unwrapOr('');
  await store.txn({compares: [], puts: [{key: '/l', value, lease}]});
  assert.equal((await store.get('/l')).unwrapOr(null)?.lease, lease);
  assert.ok((await store.keepAlive(lease)).unwrapOr(false));
  await systemSleep(1_150);
  assert.equal((await store.keepAlive(lease)).unwrapOr(true), false);
  assert.equal((await store.get('/l')).unwrapOr(undefined!), null);
  const other = (await store.grantLease(10_000)).unwrapOr('');
  assert.equal((await store.revoke(other)).unwrapOr(false), true);
  assert.equal((await store.revoke(other)).unwrapOr(true), false);
});

When(
  'the stand-in is watched from an older revision through idle streams',
  async () => {
    const first = await store.txn(put('/w/0'));
    assert.ok(first.isOk && first.value.committed);
    await store.txn(put('/w/1'));
    events = [];
    watchEnd = new AbortController();
    watched = store.watch({
      key: '/w/',
      prefix: true,
      fromRevision: first.value.revision,
      onEvent: e => events.push(e),
      signal: watchEnd.signal,
    });
    for (let i = 2; i < 6; i++) {
      await systemSleep(90);
      await store.txn(put(`/w/${String(i)}`));
    }
    await store.txn({compares: [], deletes: ['/w/0']});
    await systemSleep(90);
  },
);

When('the stand-in is watched over a connection that goes silent', async () => {
  proxy = new SilentProxy(Number(new URL(standin.url).port));
  const port = await proxy.start();
  await store.close();
  store = new HttpStore({endpoints: [`http://127.0.0.1:${port}`]});
  events = [];
  watchEnd = new AbortController();
  watched = store.watch({
    key: '/w/',
    prefix: true,
    fromRevision: 0,
    onEvent: e => events.push(e),
    signal: watchEnd.signal,
  });
  await systemSleep(confirmMs);
  proxy.silence();
  await store.txn(put('/w/0'));
});

Then(
  'the stand-in watch reports a change within {int} ms',
  {timeout: 15_000},
  async (withinMs: number) => {
    const endAt = performance.now() + withinMs;
    while (events.length === 0 && performance.now() < endAt) {
      await systemSleep(pollMs);
    }
    watchEnd.abort();
    assert.equal(events.length, 1);
  },
);

Then('the stand-in watch reported each change once and in order', () => {
  const seen = events.map(e => (e.type === 'put' ? e.entry.key : e.key));
  assert.deepEqual(seen, [
    ...['/w/0', '/w/1', '/w/2', '/w/3', '/w/4', '/w/5'],
    '/w/0',
  ]);
  assert.equal(events.at(-1)?.type, 'delete');
  assert.ok((standin.counts.byPath['/v3/watch'] ?? 0) > 2);
});

Then(
  'the stand-in watch fails when the stand-in goes back to an older state',
  async () => {
    const image = standin.state.image();
    await store.txn(put('/w/6'));
    await systemSleep(20);
    standin.state.restore(image);
    assertCode(await watched, STORE_CODES.unavailable);
    const later = {key: '/w/', fromRevision: image.revision + 100};
    const signal = AbortSignal.timeout(2_000);
    const again = await store.watch({
      ...later,
      onEvent: () => undefined,
      signal,
    });
    assertCode(again, STORE_CODES.unavailable);
  },
);

Then('the stand-in without a leader fails as not applied', async () => {
  await control('faults', {down: 'noLeader'});
  assertCode(await store.txn(put(key)), STORE_CODES.unavailable);
  assertCode(await store.get(key), STORE_CODES.unavailable);
  await control('faults', {down: 'no'});
});

Then('the stand-in over its write limit fails as not applied', async () => {
  await control('faults', {writesPerSecond: 1});
  assert.ok((await store.txn(put(key))).isOk);
  assertCode(await store.txn(put(key)), STORE_CODES.unavailable);
  await control('faults', {writesPerSecond: null});
});

Then(
  'the stand-in that resets connections leaves a write unknown',
  async () => {
    await control('faults', {down: 'reset'});
    assertCode(await store.txn(put(key)), STORE_CODES.unknownOutcome);
    assertCode(await store.get(key), STORE_CODES.unavailable);
    await control('faults', {down: 'no'});
  },
);

Then(
  'the stand-in that loses a response is settled with one write',
  async () => {
    await control('faults', {loseResponses: 1});
    const before = standin.counts.byPath['/v3/kv/txn'] ?? 0;
    const write = {key: '/s', revision: 0, body: {}, operationId: 'op-1'};
    const done = await settledPut(store, write);
    assert.ok(done.isOk && done.value.committed);
    assert.equal((standin.counts.byPath['/v3/kv/txn'] ?? 0) - before, 1);
  },
);

Then('the slow stand-in exceeds the time limit of a read', async () => {
  await control('faults', {latencyMs: 300});
  const read = await store.get(key, {timeoutMs: 50});
  assertCode(read, STORE_CODES.unavailable);
  await control('faults', {latencyMs: 0});
});

Then(
  'the stand-in restores a saved state by its control endpoint',
  async () => {
    await control('save?name=old');
    await store.txn(put('/r'));
    await control('restore?name=old');
    assert.equal((await store.get('/r')).unwrapOr(undefined!), null);
  },
);

async function apply(
  target: Store,
  seed: number,
  count: number,
): Promise<unknown[]> {
  const random = seededRandom(seed);
  const seen: unknown[] = [];
  for (let i = 0; i < count; i++) {
    const k = `/x/${String(random.below(6))}`;
    const revision = random.below(2) * random.below(count);
    const known = (await target.get(k)).unwrapOr(null)?.revision ?? 0;
    const compare = {key: k, revision: random.below(2) ? known : revision};
    const isDelete = random.below(4) === 0;
    const res = await target.txn({
      compares: [compare],
      puts: isDelete ? [] : [{key: k, value}],
      deletes: isDelete ? [k] : [],
    });
    seen.push(res.map(summary).unwrapOr('failed'));
  }
  return seen;
}

function summary(outcome: TxnOutcome): unknown {
  if (outcome.committed) return outcome.revision;
  return outcome.current.map(e => [e.key, e.revision, e.createRevision]);
}

Then(
  'the stand-in and the memory store agree over {int} random operations',
  async (count: number) => {
    const clock = {now: () => 0, wallTime: () => 0};
    const memory = new MemoryStore({clock, sleep: systemSleep});
    const seed = hashToUint32(String(testSeed()));
    const expected = await apply(memory, seed, count);
    assert.ok(!expected.includes('failed'));
    assert.deepEqual(await apply(store, seed, count), expected);
  },
);
