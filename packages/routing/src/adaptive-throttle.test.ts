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

let plain: KindResult;
let throttled: KindResult;
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
  '{int} throttled entry nodes load {int} slots at {float} times their capacity for 10 s',
  (nodes: number, slots: number, load: number) => {
    const perSecond = (load * slots * 1_000) / workMs;
    plain = replay(slots, perSecond);
    const throttles = Array.from({length: nodes}, newThrottle);
    throttled = replay(slots, perSecond, throttles);
  },
);

Then(
  'the throttled slots refuse at most half as many calls as without a throttle',
  () => {
    const refused = throttled.refused + throttled.refusedLate;
    const before = plain.refused + plain.refusedLate;
    assert.ok(refused * 2 <= before, JSON.stringify({plain, throttled}));
  },
);

Then(
  'the throttled slots answer at least {int} in 100 as many calls as without a throttle',
  (least: number) => {
    assert.ok(
      throttled.onTime * 100 >= plain.onTime * least,
      JSON.stringify({plain, throttled}),
    );
  },
);

Then('the throttled entry nodes turn {int} calls away', (count: number) => {
  assert.equal(throttled.turnedAway, count);
});

Given(
  'a throttle whose calls are all refused for {int} ms',
  (forMs: number) => {
    throttle = newThrottle();
    let turned = 0;
    for (now = 0; now < forMs; now += 10) {
      if (throttle.rejectionFor(route, now) !== null) turned++;
      else {
        const {refused} = THROTTLE_OUTCOMES;
        throttle.recordOutcome(route, refused, now + refusedAfterMs);
      }
    }
    assert.ok(turned > 0);
  },
);

/** Times at which a call was turned away after the recovery. */
let turnedAt: number[] = [];

When('the throttled calls are accepted again', () => {
  turnedAt = [];
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
    } else turnedAt.push(now - startAt);
  }
});

Then('within {int} ms the throttle turns none away', (limitMs: number) => {
  const last = turnedAt.at(-1) ?? 0;
  assert.ok(last <= limitMs, `one was turned away after ${last} ms`);
});

When('{int} throttled calls end for an unknown reason', (count: number) => {
  throttle = newThrottle();
  for (now = 0; now < count; now++) {
    assert.equal(throttle.rejectionFor(route, now), null);
    throttle.recordOutcome(route, THROTTLE_OUTCOMES.unknown, now);
  }
});

When('{int} throttled calls are sent and not answered', (count: number) => {
  throttle = newThrottle();
  for (now = 0; now < count; now++) {
    assert.equal(throttle.rejectionFor(route, now), null);
  }
});

Then('the throttle lets the next {int} calls pass', (count: number) => {
  for (let i = 0; i < count; i++) {
    assert.equal(throttle.rejectionFor(route, now + i), null);
  }
});
