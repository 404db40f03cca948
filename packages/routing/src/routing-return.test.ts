import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
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
