import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import type {DataTable} from '@cucumber/cucumber';
import {INVARIANT_CODES, Invariants, seededRandom} from '@verbenabeam/core';
import {testSeed} from '@verbenabeam/testing';
import fc from 'fast-check';
import {ChangeDetector} from './change-detector.js';
import {packEvidence, unpackEvidence} from './evidence-codec.js';
import {mergeEvidence} from './evidence.js';
import type {Evidence} from './evidence.js';
import {latencyBinCount} from './latency-bins.js';
import {blockLogRatio} from './likelihood.js';
import {MixtureTest} from './mixture-test.js';
import {TrafficSplitter} from './traffic-splitter.js';
import {MOVE_POLICIES} from './move-policy.js';
import {mergeRecords} from './move-record.js';
import type {MoveRecord} from './move-record.js';
import {StopSet} from './move-stop.js';
import type {MoveStop} from './move-stop.js';
import {planShare} from './share-planner.js';

const policy = MOVE_POLICIES.careful;
const record: MoveRecord = {
  moveId: 'm1',
  service: 's',
  from: 'v1',
  to: 'v2',
  step: 5,
  share: 0.25,
  reached: 0.25,
  state: 'running',
  reason: 'started',
  deadline: 1e6,
  decidedBy: 'n1',
  operationId: 'op5',
  changedAt: 0,
};
const stop: MoveStop = {
  moveId: 'm1',
  step: 5,
  reason: 'bad',
  decidedBy: 'n2',
  decidedAt: 1,
};
const callIds = Array.from({length: 4_000}, (_, i) => `call ${String(i)}`);
const allReady = () => true;

let stoppedPart: number;
let merges: Evidence[][];
let splitter: TrafficSplitter;
let detector: ChangeDetector;
let detectorTimeMs: number;
let decidedStops: MoveStop[];

const newCalls = (isReady: (version: string) => boolean = allReady) =>
  callIds.filter(id => splitter.choose('s', id, 'v1', isReady) === 'v2');

When(
  'the sequential test reads {int} runs without a difference, at level {float}',
  (runs: number, level: number) => {
    const rng = seededRandom(testSeed());
    const draw = (n: number) =>
      Array.from({length: n}, () => rng.float()).filter(u => u < 0.05).length;
    let stopped = 0;
    for (let run = 0; run < runs; run++) {
      const test = new MixtureTest(1);
      let highest = 0;
      for (let block = 0; block < 100; block++) {
        const oldCalls = 1 + rng.below(40);
        const newCount = 1 + rng.below(10);
        const oldEvents = draw(oldCalls);
        const newEvents = draw(newCount);
        test.add({oldCalls, oldEvents, newCalls: newCount, newEvents});
        highest = Math.max(highest, test.logEvidence());
      }
      if (highest >= -Math.log(level)) stopped += 1;
    }
    stoppedPart = stopped / runs;
  },
);

Then('the sequential test stops at most {int}% of them', (percent: number) => {
  assert.ok(stoppedPart <= percent / 100, String(stoppedPart));
});

Then(
  'the likelihood ratio of a block has mean 1 under the tolerated odds ratio',
  () => {
    const [oldCalls, newCount, events, tolerated] = [30, 10, 8, 1.5];
    const choose = (n: number, k: number): number =>
      k === 0 ? 1 : (choose(n, k - 1) * (n - k + 1)) / k;
    let mean = 0;
    let total = 0;
    for (let k = 0; k <= events; k++) {
      const ways = choose(newCount, k) * choose(oldCalls, events - k);
      const mass = ways * tolerated ** k;
      const oldEvents = events - k;
      const block = {oldCalls, oldEvents, newCalls: newCount, newEvents: k};
      mean += mass * Math.exp(blockLogRatio(block, 6, tolerated));
      total += mass;
    }
    assert.ok(Math.abs(mean / total - 1) < 1e-9, String(mean / total));
  },
);

const countsArb = fc
  .array(fc.nat(50), {minLength: latencyBinCount, maxLength: latencyBinCount})
  .map(bins => ({calls: 2_000, failures: 3, bins}));
const evidenceArb: fc.Arbitrary<Evidence> = fc.record({
  moveId: fc.constantFrom('m1', 'm2'),
  step: fc.nat(3),
  cells: fc.array(
    fc.record({
      route: fc.constantFrom('a', 'b'),
      level: fc.nat(2),
      from: countsArb,
      to: countsArb,
    }),
    {maxLength: 5},
  ),
  crashes: fc.array(
    fc.record({
      crashId: fc.constantFrom('c1', 'c2'),
      route: fc.constant('a'),
      isNew: fc.constant(true),
      fingerprints: fc.array(fc.constantFrom('x', 'y')),
    }),
    {maxLength: 3},
  ),
  cleared: fc.array(fc.constantFrom('x', 'y')),
});

When(
  'random evidence of moves is packed, unpacked and merged in two orders',
  () => {
    const parts = fc.sample(fc.array(evidenceArb, {maxLength: 9}), {
      numRuns: 50,
      seed: testSeed(),
    });
    merges = parts.flatMap(list => {
      const received = list.map(e => unpackEvidence(packEvidence(e))!);
      const half = mergeEvidence(received.slice(0, 4).reverse());
      const rest = mergeEvidence(received.slice(4).reverse());
      return [mergeEvidence([...rest, ...half]), mergeEvidence(list)];
    });
  },
);

Then('both merges of evidence hold the same counts', () => {
  const normal = (list: Evidence[] | undefined) =>
    (list ?? [])
      .map(e => ({
        id: `${e.moveId} ${String(e.step)}`,
        cells: e.cells.map(c => JSON.stringify(c)).sort(),
        crashes: e.crashes
          .map(c => c.crashId + [...c.fingerprints].sort().join())
          .sort(),
        cleared: [...e.cleared].sort(),
      }))
      .sort((a, b) => (a.id < b.id ? -1 : 1));
  for (let i = 0; i < merges.length; i += 2) {
    assert.deepEqual(normal(merges[i]), normal(merges[i + 1]));
  }
});

Then('a terminal move record wins over any running one in both orders', () => {
  const later = {...record, step: 9, operationId: 'op9'};
  const done: MoveRecord = {...record, step: 6, state: 'done'};
  assert.equal(mergeRecords(done, later), done);
  assert.equal(mergeRecords(later, done), done);
  assert.equal(mergeRecords(record, later), later);
  const twin = {...record, operationId: 'op6'};
  assert.equal(mergeRecords(record, twin), mergeRecords(twin, record));
});

Then('stops of moves merge to the same set in any order', () => {
  const others = [stop, {...stop, moveId: 'm2'}];
  const a = new StopSet();
  const b = new StopSet();
  a.merge(others);
  b.merge([...others].reverse());
  assert.equal(b.merge(others).length, 0);
  assert.deepEqual(new Set(a.list()), new Set(b.list()));
});

Given('a traffic splitter with a running record at share 0.25', () => {
  splitter = new TrafficSplitter({
    nodeId: 'n1',
    invariants: new Invariants(true),
    analyzerOptions: () => ({policy, routes: 1, alphaPart: 0.01}),
  });
  splitter.mergeRecord(record);
  decidedStops = [];
});

Then('the traffic splitter sends about 25% of calls to the new version', () => {
  const part = newCalls().length / callIds.length;
  assert.ok(Math.abs(part - 0.25) < 0.03, String(part));
});

Then('the traffic splitter keeps call ids on the new version', () => {
  const before = newCalls();
  splitter.mergeRecord({...record, step: 6, share: 0.5});
  const after = new Set(newCalls());
  assert.ok(before.every(id => after.has(id)));
});

Then(
  'the traffic splitter sends no call to a new version without a ready instance',
  () => {
    assert.equal(newCalls(version => version === 'v1').length, 0);
  },
);

When(
  'the traffic splitter receives a stop and then a record of a higher step',
  () => {
    assert.equal(splitter.mergeStops([stop]).length, 1);
    assert.equal(splitter.mergeStops([stop]).length, 0);
    splitter.mergeRecord({...record, step: 7, share: 1});
  },
);

Then('the traffic splitter sends no call to the new version', () => {
  assert.equal(newCalls().length, 0);
});

Then('a call sent to the new version anyway violates invariant 9004', () => {
  splitter.onSent('s', 'v1');
  const {code} = INVARIANT_CODES.trafficAfterStop;
  const isBroken = (e: unknown) =>
    (e as {code?: {code: number}}).code?.code === code;
  assert.throws(() => {
    splitter.onSent('s', 'v2');
  }, isBroken);
});

When('the traffic splitter sees the new version fail for 10 s', () => {
  const base = {service: 's', route: 'r', latencyMs: 9, cold: false};
  for (let second = 1; second <= 10; second++) {
    for (const [i, id] of callIds.slice(0, 50).entries()) {
      const version = splitter.choose('s', id, 'v1', allReady);
      const kind = version === 'v2' ? 'failed' : 'ok';
      splitter.record({...base, version, kind, fingerprint: String(i)});
    }
    decidedStops.push(...splitter.flush(second * 1_000, second * 1_000).stops);
  }
});

Then('the traffic splitter has decided one stop', () => {
  assert.equal(decidedStops.length, 1);
  assert.match(decidedStops[0]!.reason, /route r: 100.0% .* failed, 0.0%/);
});

/** Adds one window of 5 s with all calls at its start. */
function addWindow(calls: number, failures: number, share: number): void {
  const bins = new Array<number>(latencyBinCount).fill(0);
  bins[8] = calls - failures;
  const to = {calls, failures, bins};
  const from = {calls: 0, failures: 0, bins: []};
  const none = {calls: 0, failures: 0, bins: []};
  const cell = {route: 'r', level: 1};
  detector.add([{...cell, from, to}], share, detectorTimeMs);
  detectorTimeMs += 5_000;
  detector.add([{...cell, from, to: none}], share, detectorTimeMs);
}

Given(
  'a change detector that saw {int} s without a failure at share {float}',
  (seconds: number, share: number) => {
    detector = new ChangeDetector();
    detectorTimeMs = 0;
    for (let s = 0; s < seconds; s += 5) addWindow(500, 0, share);
    detector.startStep();
  },
);

When(
  'the change detector sees {int} of {int} calls fail at share {float}',
  (failures: number, calls: number, share: number) => {
    addWindow(calls, failures, share);
  },
);

Then('the change detector has detected no change', () => {
  assert.equal(detector.change(), null);
});

Then('the change detector has detected a change', () => {
  assert.match(detector.change() ?? '', /^20 failures .* 0.0 were expected/);
});

Then('the planner of moves decides as follows:', (table: DataTable) => {
  for (const row of table.hashes()) {
    const calls = Number(row['calls']);
    const share = Number(row['share']);
    const atShareMs = Number(row['atShareS']) * 1_000;
    const plan = planShare(
      {
        share,
        reached: share,
        atShareMs,
        sinceChangeMs: atShareMs,
        toDeadlineMs: Number(row['deadlineS']) * 1_000,
        clean: row['clean'] === 'yes',
        fewestRouteCalls: calls,
        newCalls: calls,
        allCalls: calls / share,
        capacityShare: Number(row['capacity']),
        changes: 0,
        change: null,
        isUsual: false,
      },
      policy,
    );
    const shown = plan.kind === 'setShare' ? ` ${String(plan.share)}` : '';
    assert.equal(plan.kind + shown, row['plan'], JSON.stringify(row));
  }
});
