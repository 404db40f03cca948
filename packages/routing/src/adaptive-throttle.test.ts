import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {seededRandom} from '@verbenabeam/core';
import {testSeed} from '@verbenabeam/testing';
import {AdaptiveThrottle, THROTTLE_OUTCOMES} from './adaptive-throttle.js';
import {replaySlots} from './fakes/slot-model.js';
import type {KindResult} from './fakes/slot-model.js';
import {SlotQueue} from './slot-queue.js';

const workMs = 80;
const seconds = 10;
const route = 'read';
const refusedAfterMs = 5;
const answeredAfterMs = 100;

let withoutThrottle: KindResult;
let withThrottle: KindResult;
let throttle: AdaptiveThrottle;
let now = 0;

function newThrottle(): AdaptiveThrottle {
  return new AdaptiveThrottle({random: seededRandom(testSeed())});
}

function replay(
  slots: number,
  perSecond: number,
  throttles?: readonly AdaptiveThrottle[],
): KindResult {
  const kind = {route, priority: 1, perSecond, workMs};
  const kinds = [{...kind, targetMs: 200, deadlineMs: 500}];
  const setup = {kinds, slots, seconds, ...(throttles ? {throttles} : {})};
  const rng = seededRandom(testSeed());
  return replaySlots(new SlotQueue({slots}), setup, rng).get(route)!;
}

When(
  '{int} entry nodes with a throttle load {int} slots at {float} times their capacity for 10 s',
  (nodes: number, slots: number, load: number) => {
    const perSecond = (load * slots * 1_000) / workMs;
    withoutThrottle = replay(slots, perSecond);
    const throttles = Array.from({length: nodes}, newThrottle);
    withThrottle = replay(slots, perSecond, throttles);
  },
);

Then(
  'with the throttle the slots refuse at most half as many calls as without it',
  () => {
    const refused = withThrottle.refused + withThrottle.refusedLate;
    const before = withoutThrottle.refused + withoutThrottle.refusedLate;
    assert.ok(
      refused * 2 <= before,
      JSON.stringify({withoutThrottle, withThrottle}),
    );
  },
);

Then(
  'with the throttle the slots answer at least {int} in 100 as many calls on time as without it',
  (least: number) => {
    assert.ok(
      withThrottle.onTime * 100 >= withoutThrottle.onTime * least,
      JSON.stringify({withoutThrottle, withThrottle}),
    );
  },
);

Then('the throttles of the entry nodes reject {int} calls', (count: number) => {
  assert.equal(withThrottle.throttled, count);
});

Given(
  'a throttle whose calls are all refused for {int} ms',
  (forMs: number) => {
    throttle = newThrottle();
    let rejections = 0;
    for (now = 0; now < forMs; now += 10) {
      if (throttle.rejectionFor(route, now) !== null) rejections++;
      else {
        const {refused} = THROTTLE_OUTCOMES;
        throttle.recordOutcome(route, refused, now + refusedAfterMs);
      }
    }
    assert.ok(rejections > 0);
  },
);

/** Times after the recovery, in ms, at which a call was rejected. */
let rejectedAt: number[] = [];

When('the instances accept the calls of the throttle again', () => {
  rejectedAt = [];
  const forMs = 4_000;
  const startAt = now;
  const open: number[] = [];
  for (; now < startAt + forMs; now += 10) {
    while (open.length > 0 && Number(open[0]) <= now) {
      open.shift();
      throttle.recordOutcome(route, THROTTLE_OUTCOMES.accepted, now);
    }
    if (throttle.rejectionFor(route, now) === null) {
      open.push(now + answeredAfterMs);
    } else rejectedAt.push(now - startAt);
  }
});

Then('after {int} ms the throttle rejects no more calls', (limitMs: number) => {
  const last = rejectedAt.at(-1) ?? 0;
  assert.ok(last <= limitMs, `a call was rejected after ${last} ms`);
});

When(
  '{int} calls through the throttle end with an unknown outcome',
  (count: number) => {
    throttle = newThrottle();
    for (now = 0; now < count; now++) {
      assert.equal(throttle.rejectionFor(route, now), null);
      throttle.recordOutcome(route, THROTTLE_OUTCOMES.unknown, now);
    }
  },
);

When(
  '{int} calls through the throttle are sent and not answered',
  (count: number) => {
    throttle = newThrottle();
    for (now = 0; now < count; now++) {
      assert.equal(throttle.rejectionFor(route, now), null);
    }
  },
);

Then('the throttle sends the next {int} calls', (count: number) => {
  for (let i = 0; i < count; i++) {
    assert.equal(throttle.rejectionFor(route, now + i), null);
  }
});
