import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {seededRandom} from '@verbenabeam/core';
import {testSeed} from '@verbenabeam/testing';
import {InstancePicker} from './instance-picker.js';

interface World {
  picker: InstancePicker;
}

const rng = seededRandom(testSeed());
const noExclusions: ReadonlySet<string> = new Set();
/** All slots are in use and some calls are queued. */
const fullLoad = {inFlight: 12, queued: 8, slots: 12, serviceMs: 20};
const candidates = ['a', 'a', 'b', 'b'].map((dataCentre, i) => ({
  nodeId: String(i),
  dataCentre,
  slots: 12,
  readySince: -Infinity,
}));

When(
  'routing observes for 2 s that the local data centre is 10 times slower',
  function (this: World) {
    this.picker = new InstancePicker({dataCentre: 'a'});
    for (let now = 0; now < 2_000; now += 20) {
      for (const {nodeId, dataCentre} of candidates) {
        const isLocal = dataCentre === 'a';
        // The local instance gets few calls, so that the other data centre sets the
        // pool average.
        if (isLocal && now % 200 > 0) continue;
        const latencyMs = isLocal ? 200 : 20;
        const report = {
          nodeId,
          outcome: 'ok',
          latencyMs,
          load: fullLoad,
        } as const;
        this.picker.report(report, now);
      }
    }
  },
);

// Guards against avoiding a data centre for good: without calls to it there are
// no samples that show its recovery.
Then(
  'routing chooses the local data centre again within 8 s',
  function (this: World) {
    const {picker} = this;
    const limits = {targetMs: 60};
    let localCalls = 0;
    for (let now = 2_000; now < 11_000; now += 10) {
      const picked = picker.pick(
        's',
        'v',
        candidates,
        now,
        rng,
        noExclusions,
        limits,
      );
      const {nodeId, dataCentre} = picked.unwrapOr(candidates[0]!);
      picker.report(
        {nodeId, outcome: 'ok', latencyMs: 20, load: fullLoad},
        now,
      );
      if (now >= 10_000 && dataCentre === 'a') localCalls++;
    }
    assert.ok(localCalls > 90, `${localCalls} of 100 calls were local`);
  },
);
