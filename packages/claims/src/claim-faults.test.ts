import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
  hashToUint32,
  Invariants,
  INVARIANT_CODES,
  seededRandom,
} from '@verbenabeam/core';
import type {RandomSource} from '@verbenabeam/core';
import type {Sleep, Store} from '@verbenabeam/store';
import {ManualClock, MemoryStore} from '@verbenabeam/store/fakes';
import {testSeed} from '@verbenabeam/testing';
import {ClaimClient} from './claim-client.js';
import type {SendClaimMessage} from './claim-client.js';
import {ClaimOwner} from './claim-owner.js';

const environment = 'production';
const limits = {compactAtSegments: 6, maxCompactedSegments: 4};
const keyCount = 40;
const runMs = 20_000;

/** A node whose timers and store calls are delayed while it is paused. */
class PausableNode {
  pausedUntil = 0;
  owner!: ClaimOwner;

  constructor(
    readonly store: MemoryStore,
    readonly clock: ManualClock,
    readonly invariants: Invariants,
  ) {
    this.restart();
  }

  readonly sleep: Sleep = async (ms, signal) => {
    await this.clock.sleep(ms, signal);
    await this.resume();
  };

  async resume(): Promise<void> {
    while (this.clock.now() < this.pausedUntil) {
      await this.clock.sleep(this.pausedUntil - this.clock.now());
    }
  }

  restart(): void {
    const {store, clock, invariants, sleep} = this;
    const afterPause = async <T>(call: Promise<T>): Promise<T> => {
      const result = await call;
      await this.resume();
      return result;
    };
    const pausableStore: Pick<Store, 'get' | 'list' | 'txn'> = {
      get: key => afterPause(store.get(key)),
      list: key => afterPause(store.list(key)),
      txn: async txn => {
        await this.resume();
        return afterPause(store.txn(txn));
      },
    };
    this.owner = new ClaimOwner({
      store: pausableStore as Store,
      environment,
      clock,
      sleep,
      invariants,
      limits,
    });
  }
}

const totals = {granted: 0, refused: 0, repeated: 0, lost: 0, killed: 0};
let seeds: number[];
let violations: string[];

Given('claim fault runs with {int} seeds', (count: number) => {
  const seedOf = (_: unknown, i: number) =>
    hashToUint32(`${String(testSeed())}/${String(i)}`);
  seeds = Array.from({length: count}, seedOf);
  violations = [];
});

async function runSeed(seed: number): Promise<void> {
  const random = seededRandom(seed);
  const clock = new ManualClock();
  const store = new MemoryStore({clock, sleep: clock.sleep});
  Object.assign(store.faults, {readMs: 2, writeMs: 6, loseShare: 0.1, random});
  const invariants = new Invariants(false);
  invariants.onBroken((code, d) =>
    violations.push(`${code.name} seed=${String(seed)} ${JSON.stringify(d)}`),
  );
  const nodes = new Map(
    ['a', 'b', 'c'].map(id => [id, new PausableNode(store, clock, invariants)]),
  );
  const runs = new Map<string, number>();
  const pending: Promise<void>[] = [];
  for (let at = 0; at < runMs; at += 20) {
    injectFault(store, nodes, clock, random, at);
    for (let i = random.below(3); i > 0; i--) {
      const callId = `${String(at)}/${String(i)}`;
      pending.push(runCall(callId, nodes, clock, random, runs, invariants));
    }
    await clock.advance(20);
  }
  store.setDown(false);
  Object.assign(store.faults, {loseShare: 0, writeMs: 6});
  await clock.advance(30_000);
  await Promise.all(pending);
}

function injectFault(
  store: MemoryStore,
  nodes: Map<string, PausableNode>,
  clock: ManualClock,
  random: RandomSource,
  at: number,
): void {
  if (random.below(20) === 0) {
    const node = random.pick([...nodes.values()]);
    node.pausedUntil = clock.now() + random.below(3_000);
  }
  if (random.below(50) === 0) {
    random.pick([...nodes.values()]).restart();
    totals.killed += 1;
  }
  // Slow writes are applied after the write has timed out.
  if (random.below(40) === 0) store.faults.writeMs = random.below(4_000);
  else if (random.below(5) === 0) store.faults.writeMs = 6;
  if (at % 5_000 === 4_000) store.setDown(true);
  if (at % 5_000 === 4_600) store.setDown(false);
}

/** Claims a random key, and runs the call if granted; the finish may be lost. */
async function runCall(
  callId: string,
  nodes: Map<string, PausableNode>,
  clock: ManualClock,
  random: RandomSource,
  runs: Map<string, number>,
  invariants: Invariants,
): Promise<void> {
  const key = `key-${String(random.below(keyCount))}`;
  const send = (async (nodeId: string, kind: string, body: never) => {
    const node = nodes.get(nodeId)!;
    await clock.sleep(random.below(20));
    await node.resume();
    const reply =
      kind === 'claim.begin' ? node.owner.begin(body) : node.owner.finish(body);
    return reply;
  }) as SendClaimMessage;
  // Clients know different sets of nodes, so several nodes act as the owner.
  const knownNodes = random.shuffle([...nodes.keys()]).slice(0, 2);
  const client = new ClaimClient({nodes: () => knownNodes, send});
  const scope = {environment, service: 's', callerClass: 'c', key, callId};
  const reply = await client.begin(scope, 500);
  if (reply.isErr) {
    totals.refused += 1;
    return;
  }
  if (reply.value.state !== 'granted') {
    totals.repeated += 1;
    return;
  }
  totals.granted += 1;
  if (random.below(10) === 0) {
    await client.finish(scope, {outcome: 'notRun', answer: null});
    return;
  }
  const count = (runs.get(key) ?? 0) + 1;
  runs.set(key, count);
  invariants.check(INVARIANT_CODES.ranTwice, count === 1, {key, callId, count});
  const finishLost = random.below(3) === 0;
  if (finishLost) totals.lost += 1;
  else await client.finish(scope, {outcome: 'ran', answer: null});
}

When(
  'the claim owners are paused, duplicated and restarted, and the store is faulty',
  async () => {
    for (const seed of seeds) await runSeed(seed);
  },
);

Then(
  'no claim was granted to two calls and every kind of fault occurred',
  () => {
    assert.deepEqual(violations, []);
    for (const [name, count] of Object.entries(totals)) {
      assert.ok(count > seeds.length, `${name}: ${String(count)}`);
    }
  },
);
