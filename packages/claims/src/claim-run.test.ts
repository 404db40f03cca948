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
const limits = {foldAt: 6, foldCount: 4};
const keyCount = 40;
const runMs = 20_000;

/** A node that can be paused: its timers and responses wait for the end. */
class Node {
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
    const paused = async <T>(call: Promise<T>): Promise<T> => {
      const result = await call;
      await this.resume();
      return result;
    };
    const view: Pick<Store, 'get' | 'list' | 'txn'> = {
      get: key => paused(store.get(key)),
      list: key => paused(store.list(key)),
      txn: async txn => {
        await this.resume();
        return paused(store.txn(txn));
      },
    };
    this.owner = new ClaimOwner({
      store: view as Store,
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
let faults: string[];

Given('claim runs with {int} seeds', (count: number) => {
  const seedOf = (_: unknown, i: number) =>
    hashToUint32(`${String(testSeed())}/${String(i)}`);
  seeds = Array.from({length: count}, seedOf);
  faults = [];
});

async function runSeed(seed: number): Promise<void> {
  const random = seededRandom(seed);
  const clock = new ManualClock();
  const store = new MemoryStore({clock, sleep: clock.sleep});
  Object.assign(store.faults, {readMs: 2, writeMs: 6, loseShare: 0.1, random});
  const invariants = new Invariants(false);
  invariants.onBroken((code, d) =>
    faults.push(`${code.name} seed=${String(seed)} ${JSON.stringify(d)}`),
  );
  const nodes = new Map(
    ['a', 'b', 'c'].map(id => [id, new Node(store, clock, invariants)]),
  );
  const runs = new Map<string, number>();
  const pending: Promise<void>[] = [];
  for (let at = 0; at < runMs; at += 20) {
    injectFault(store, nodes, clock, random, at);
    for (let i = random.below(3); i > 0; i--) {
      const callId = `${String(at)}/${String(i)}`;
      pending.push(call(callId, nodes, clock, random, runs, invariants));
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
  nodes: Map<string, Node>,
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
  // Slow writes take effect after their time limit has passed.
  if (random.below(40) === 0) store.faults.writeMs = random.below(4_000);
  else if (random.below(5) === 0) store.faults.writeMs = 6;
  if (at % 5_000 === 4_000) store.setDown(true);
  if (at % 5_000 === 4_600) store.setDown(false);
}

/** One caller's request; a grant runs it, and it may end without a finish. */
async function call(
  callId: string,
  nodes: Map<string, Node>,
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
  // Views of the membership differ, so several nodes act as the owner.
  const view = random.shuffle([...nodes.keys()]).slice(0, 2);
  const client = new ClaimClient({nodes: () => view, send});
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
  const ownerDied = random.below(3) === 0;
  if (ownerDied) totals.lost += 1;
  else await client.finish(scope, {outcome: 'ran', answer: null});
}

When(
  'the claim nodes are paused, doubled and killed over a faulty store',
  async () => {
    for (const seed of seeds) await runSeed(seed);
  },
);

Then('no claim was granted to two calls and every fault occurred', () => {
  assert.deepEqual(faults, []);
  for (const [name, count] of Object.entries(totals)) {
    assert.ok(count > seeds.length, `${name}: ${String(count)}`);
  }
});
