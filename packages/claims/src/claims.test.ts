import assert from 'node:assert/strict';
import {Given, Then} from '@cucumber/cucumber';
import {CLAIM_CODES, Invariants} from '@verbenabeam/core';
import type {Store} from '@verbenabeam/store';
import {ManualClock, MemoryStore} from '@verbenabeam/store/fakes';
import {ClaimClient} from './claim-client.js';
import type {SendClaimMessage} from './claim-client.js';
import type {ClaimLimits} from './claim-limits.js';
import {ClaimOwner} from './claim-owner.js';
import {partitionCount} from './messages.js';

const environment = 'production';
const holdMs = 1_000;
const answer = {status: 201, headers: [], body: Buffer.from('made')};
let clock: ManualClock;
let store: MemoryStore;

function setUp(): void {
  clock = new ManualClock();
  store = new MemoryStore({clock, sleep: clock.sleep});
}

function startOwner(
  limits: Partial<ClaimLimits> = {},
  ownerStore: Store = store,
): ClaimOwner {
  const {sleep} = clock;
  const invariants = new Invariants(true);
  const base = {environment, clock, sleep, invariants};
  return new ClaimOwner({...base, store: ownerStore, limits});
}

function clientFor(owner: ClaimOwner): ClaimClient {
  const send = ((_node: string, kind: string, body: never) =>
    kind === 'claim.begin'
      ? owner.begin(body)
      : owner.finish(body)) as SendClaimMessage;
  return new ClaimClient({nodes: () => ['n1'], send});
}

async function advanceUntilDone<T>(promise: Promise<T>): Promise<T> {
  const state = {done: false};
  const ended = promise.finally(() => (state.done = true));
  for (let i = 0; i < 1_000 && !state.done; i++) await clock.advance(5);
  assert.ok(state.done, 'the promise must settle within 5 s');
  return ended;
}

const keyedCall = (key: string, callId: string) => ({
  ...{environment, service: 's', callerClass: 'c', key, callId},
});

async function begin(owner: ClaimOwner, key: string, callId: string) {
  const reply = await advanceUntilDone(
    clientFor(owner).begin(keyedCall(key, callId), holdMs),
  );
  return reply.isOk ? reply.value.state : reply.error.details['cause'];
}

function finish(owner: ClaimOwner, key: string, outcome: 'ran' | 'notRun') {
  const end = {outcome, answer: outcome === 'ran' ? answer : null};
  return advanceUntilDone(clientFor(owner).finish(keyedCall(key, 'c1'), end));
}

let resumePausedOwner: () => void;
let pausedOwner: ClaimOwner;
const beginRequest = (claim: string, callId: string) => ({
  ...{partition: 0, claim, callId, holdMs},
});
let pausedBegin: ReturnType<ClaimOwner['begin']>;

Given('a paused claim owner that has listed an empty partition', async () => {
  setUp();
  const resumed = new Promise<void>(resolve => (resumePausedOwner = resolve));
  const pausedStore: Pick<Store, 'get' | 'list' | 'txn'> = {
    get: key => store.get(key),
    list: prefix => store.list(prefix),
    txn: async txn => {
      await resumed;
      return store.txn(txn);
    },
  };
  pausedOwner = startOwner({}, pausedStore as Store);
  pausedBegin = pausedOwner.begin(beginRequest('k1', 'stale'));
  await clock.advance(1);
});

Then(
  'another claim owner grants claims until the first segments are compacted',
  async () => {
    // Ten appends must complete within the hold time of the first claim.
    const owner = startOwner({
      minAppendIntervalMs: 50,
      compactAtSegments: 4,
      maxCompactedSegments: 3,
    });
    for (let i = 1; i <= 10; i++) {
      const req = beginRequest(`k${String(i)}`, 'other');
      assert.equal((await advanceUntilDone(owner.begin(req))).isOk, true);
    }
    const keys = store.state.range('/', true).map(e => e.key);
    assert.ok(!keys.some(k => k.endsWith('/000000000001')));
  },
);

Then(
  'the paused claim owner does not grant a claim that the other owner has granted',
  async () => {
    resumePausedOwner();
    const reply = await advanceUntilDone(pausedBegin);
    assert.deepEqual(reply.unwrapOr(null!), {state: 'inProgress'});
  },
);

let owner: ClaimOwner;

// Guards against a retry loop that keeps the process alive after a shutdown.
Given(
  'a claim owner that is stopped while a store outage interrupts its append',
  async () => {
    setUp();
    const stop = new AbortController();
    const invariants = new Invariants(true);
    const base = {environment, clock, sleep: clock.sleep, invariants};
    const stoppedOwner = new ClaimOwner({...base, store, signal: stop.signal});
    store.faults.writeMs = 100;
    void stoppedOwner.begin(beginRequest('k1', 'c1'));
    await clock.advance(10);
    store.setDown(true);
    await clock.advance(5_000);
    assert.ok(
      store.counts.get > 0,
      'the outcome of the append must be unknown',
    );
    stop.abort();
  },
);

Then('the claim owner makes no further store calls', async () => {
  const before = store.totalCalls();
  await clock.advance(60_000);
  assert.equal(store.totalCalls(), before);
});

Given('a claim owner and a claim client', () => {
  setUp();
  owner = startOwner();
});

Then('a granted claim is in progress for another call', async () => {
  assert.equal(await begin(owner, 'a', 'c1'), 'granted');
  assert.equal(await begin(owner, 'a', 'c2'), 'inProgress');
  assert.equal(await begin(owner, 'a', 'c1'), 'granted');
});

Then(
  'a finished claim returns its stored response from a new claim owner',
  async () => {
    assert.ok((await finish(owner, 'a', 'ran')).isOk);
    const client = clientFor(startOwner());
    const reply = await advanceUntilDone(
      client.begin(keyedCall('a', 'c3'), holdMs),
    );
    assert.ok(reply.isOk && reply.value.state === 'finished');
    assert.equal(Buffer.from(reply.value.answer!.body).toString(), 'made');
  },
);

Then('a claim without an outcome is unknown after its hold time', async () => {
  assert.equal(await begin(owner, 'b', 'c1'), 'granted');
  await clock.advance(holdMs + 1);
  assert.equal(await begin(startOwner(), 'b', 'c2'), 'unknown');
});

Then('a released claim is granted again', async () => {
  assert.equal(await begin(owner, 'r', 'c1'), 'granted');
  assert.ok((await finish(owner, 'r', 'notRun')).isOk);
  assert.equal(await begin(owner, 'r', 'c2'), 'granted');
});

Then('a claim is refused as not run while the store is down', async () => {
  store.setDown(true);
  const {code} = CLAIM_CODES.unavailable;
  assert.equal(await begin(owner, 'd', 'c1'), code);
  assert.equal(await begin(startOwner(), 'd', 'c1'), code);
  store.setDown(false);
  assert.equal(await begin(owner, 'd', 'c2'), 'granted');
});

Then(
  'a claim whose append response is lost is granted with one append',
  async () => {
    const before = store.counts.txn;
    store.faults.loseResponses = 1;
    const reply = await advanceUntilDone(
      owner.begin(beginRequest('lost', 'c1')),
    );
    assert.deepEqual(reply.unwrapOr(null!), {state: 'granted'});
    assert.equal(store.counts.txn - before, 1);
  },
);

Then(
  'claims over the limit of the partition are refused as not run',
  async () => {
    const fullOwner = startOwner({maxClaims: 2});
    for (const claim of ['x', 'y']) {
      const req = {...beginRequest(claim, 'c1'), partition: 9};
      assert.ok((await advanceUntilDone(fullOwner.begin(req))).isOk);
    }
    const reply = await advanceUntilDone(
      fullOwner.begin({...beginRequest('z', 'c1'), partition: 9}),
    );
    assert.ok(reply.isErr && reply.error.code === CLAIM_CODES.limitReached);
  },
);

interface Load {
  readonly perSecond: number;
  readonly granted: number;
  readonly writes: number;
  readonly partitions: number;
  readonly waits: number[];
}

let loads: Load[];
const loadMs = 2_000;

async function runLoad(perSecond: number, partitions: number): Promise<Load> {
  setUp();
  Object.assign(store.faults, {readMs: 5, writeMs: 5});
  const loadedOwner = startOwner();
  const waits: number[] = [];
  for (let i = 0; i < partitions; i++) {
    await advanceUntilDone(
      loadedOwner.begin({...beginRequest('warm', 'w'), partition: i}),
    );
  }
  const before = store.counts.txn;
  for (let at = 0, i = 0; at < loadMs; at++) {
    await clock.advance(1);
    for (; i < (at * perSecond) / 1_000; i++) {
      const startedAt = clock.now();
      const req = {
        ...beginRequest(`k${String(i)}`, 'c'),
        partition: i % partitions,
      };
      const ended = loadedOwner.begin(req).then(reply => {
        if (reply.isOk) waits.push(clock.now() - startedAt);
      });
      void ended;
    }
  }
  await clock.advance(600);
  waits.sort((a, b) => a - b);
  const writes = store.counts.txn - before;
  return {perSecond, granted: waits.length, writes, partitions, waits};
}

Given(
  'claim loads of {int}, {int} and {int} begins per second',
  async (low: number, middle: number, high: number) => {
    loads = [];
    for (const perSecond of [low, middle, high]) {
      loads.push(await runLoad(perSecond, 1));
      loads.push(await runLoad(perSecond, partitionCount));
    }
  },
);

Then(
  'each claim load has a p99 wait under {int} ms and at most {int} writes per second and partition',
  (ms: number, rate: number) => {
    for (const load of loads) {
      const {granted, waits, writes, partitions, perSecond} = load;
      const p50 = waits[Math.floor(granted * 0.5)]!;
      const p99 = waits[Math.floor(granted * 0.99)]!;
      const perWrite = (granted / writes).toFixed(1);
      const writeRate = writes / (loadMs / 1_000);
      const figures = {perSecond, partitions, perWrite, writeRate, p50, p99};
      if (process.env['CLAIM_FIGURES']) {
        process.stderr.write(`${JSON.stringify(figures)}\n`);
      }
      assert.ok(granted >= (perSecond * loadMs) / 1_000 - 1);
      assert.ok(p99 < ms);
      assert.ok(writeRate <= (rate + 1) * partitions);
    }
  },
);
