import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {seededRandom} from '@verbenabeam/core';
import {testSeed} from '@verbenabeam/testing';
import {InstancePicker} from './instance-picker.js';

interface World {
  picker: InstancePicker;
}

const rng = seededRandom(testSeed());
const none: ReadonlySet<string> = new Set();
/** All slots in use, and some calls that wait. */
const full = {inFlight: 12, queued: 8, slots: 12, serviceMs: 20};
const candidates = ['a', 'a', 'b', 'b'].map((dataCentre, i) => ({
  nodeId: String(i),
  dataCentre,
  slots: 12,
  readySince: -Infinity,
}));

When(
  'routing sees the own data centre 10 times slower for 2 s',
  function (this: World) {
    this.picker = new InstancePicker({dataCentre: 'a'});
    for (let now = 0; now < 2_000; now += 20) {
      for (const {nodeId, dataCentre} of candidates) {
        const isOwn = dataCentre === 'a';
        // Few calls are sent to it, so that the pool's time stays that of others.
        if (isOwn && now % 200 > 0) continue;
        const latencyMs = isOwn ? 200 : 20;
        const report = {nodeId, outcome: 'ok', latencyMs, load: full} as const;
        this.picker.report(report, now);
      }
    }
  },
);

// Guards against leaving a data centre for good: what is not called is not measured.
Then(
  'routing chooses the own data centre again within 8 s',
  function (this: World) {
    const {picker} = this;
    const limits = {targetMs: 60};
    let stayed = 0;
    for (let now = 2_000; now < 11_000; now += 10) {
      const picked = picker.pick('s', 'v', candidates, now, rng, none, limits);
      const {nodeId, dataCentre} = picked.unwrapOr(candidates[0]!);
      picker.report({nodeId, outcome: 'ok', latencyMs: 20, load: full}, now);
      if (now >= 10_000 && dataCentre === 'a') stayed++;
    }
    assert.ok(stayed > 90, `${stayed} of 100 calls stayed`);
  },
);

const ownLimits = {targetMs: 60};
const idle = {inFlight: 0, queued: 0, slots: 12, serviceMs: 20};

function learn(picker: InstancePicker, ownMs: number, ownLoad = idle): void {
  for (let now = 0; now < 1_000; now += 10) {
    for (const {nodeId} of candidates) {
      const isOwn = nodeId === '0';
      picker.report(
        {
          nodeId,
          outcome: 'ok',
          latencyMs: isOwn ? ownMs : 20,
          load: isOwn ? ownLoad : idle,
        },
        now,
      );
    }
  }
}

/** Calls of 100 that stay on the own node. */
function kept(picker: InstancePicker): number {
  const now = 1_000;
  let count = 0;
  for (let i = 0; i < 100; i++) {
    const picked = picker.pick('s', 'v', candidates, now, rng, none, ownLimits);
    const {nodeId} = picked.unwrapOr(candidates[1]!);
    if (nodeId === '0') count++;
    picker.report({nodeId, outcome: 'cancelled', latencyMs: 0}, now);
  }
  return count;
}

Given(
  'a routing picker on a node with an instance of its own',
  function (this: World) {
    this.picker = new InstancePicker({dataCentre: 'a', nodeId: '0'});
  },
);

Then(
  'routing keeps {int} of 100 calls there while it is idle',
  function (this: World, count: number) {
    learn(this.picker, 20);
    assert.equal(kept(this.picker), count);
  },
);

Then(
  'routing keeps at most {int} of 100 calls there while all its slots are in use',
  function (this: World, most: number) {
    learn(this.picker, 20, full);
    assert.ok(kept(this.picker) <= most);
  },
);

Then(
  'routing keeps at most {int} of 100 calls there while it is {int} times slower',
  function (this: World, most: number, times: number) {
    learn(this.picker, 20 * times);
    assert.ok(kept(this.picker) <= most);
  },
);
