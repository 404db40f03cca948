import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {seededRandom} from '@verbenabeam/core';
import {testSeed} from '@verbenabeam/testing';
import type {AdmissionDecision} from './admission-types.js';
import {Deadline} from './deadline.js';
import {replaySlots} from './fakes/slot-model.js';
import type {CallKind, KindResult} from './fakes/slot-model.js';
import {SlotQueue} from './slot-queue.js';
import {UsualDeadlines} from './usual-deadlines.js';

const workMs = 80;
const seconds = 10;
const base = {targetMs: 200, deadlineMs: 500, workMs};

let results: ReadonlyMap<string, KindResult>;
let capacity = 0;
let queue: SlotQueue;
let last: AdmissionDecision;

function replay(slots: number, kinds: readonly CallKind[]): void {
  capacity = ((slots * 1_000) / workMs) * seconds;
  const policy = new SlotQueue({slots});
  const rng = seededRandom(testSeed());
  results = replaySlots(policy, {kinds, slots, seconds}, rng);
}

When(
  'a slot queue with {int} slots gets {float} times its capacity for 10 s',
  (slots: number, load: number) => {
    const perSecond = (load * slots * 1_000) / workMs;
    replay(slots, [{...base, route: 'read', priority: 1, perSecond}]);
  },
);

let returning: CallKind;

function replayReturning(deadlines: UsualDeadlines | null): KindResult {
  const waitedMs = (route: string, ms: number) =>
    deadlines?.waitedMs(route, ms) ?? 0;
  const setup = {kinds: [returning], slots: 11, seconds, waitedMs};
  const rng = seededRandom(testSeed());
  return replaySlots(new SlotQueue({slots: 11}), setup, rng).get('read')!;
}

When(
  'callers that return once load a slot queue with {int} slots at {float} times its capacity',
  (slots: number, load: number) => {
    capacity = ((slots * 1_000) / workMs) * seconds;
    const perSecond = (load * capacity) / seconds;
    returning = {...base, route: 'read', priority: 1, perSecond, returns: true};
    results = new Map([['read', replayReturning(new UsualDeadlines())]]);
  },
);

Then('without the time that callers waited it answers fewer of them', () => {
  const known = results.get('read')!;
  const unknown = replayReturning(null);
  const seen = JSON.stringify({known, unknown});
  assert.ok(unknown.onTime < known.onTime, seen);
});

let usual: UsualDeadlines;

When(
  '{int} callers of a route start with {int} ms and {int} of them return',
  (count: number, limitMs: number, returned: number) => {
    usual = new UsualDeadlines();
    for (let i = 0; i < count; i++) {
      usual.waitedMs('read', limitMs);
      if (i < returned) usual.waitedMs('read', limitMs - 20 - i);
    }
  },
);

Then(
  'a usual deadline tells {int} ms for {int} ms and {int} ms for {int} ms',
  (waitedA: number, limitA: number, waitedB: number, limitB: number) => {
    assert.equal(usual.waitedMs('read', limitA), waitedA);
    assert.equal(usual.waitedMs('read', limitB), waitedB);
  },
);

Then(
  'a usual deadline tells {int} ms for callers that start with {int} ms too',
  (waited: number, limitMs: number) => {
    for (let i = 0; i < 40; i++) usual.waitedMs('read', limitMs);
    assert.equal(usual.waitedMs('read', limitMs), waited);
  },
);

When(
  'a slot queue with {int} slots gets urgent and other calls at {float} times its capacity',
  (slots: number, load: number) => {
    const perSecond = (load * slots * 1_000) / workMs;
    replay(slots, [
      {...base, route: 'pay', priority: 1, perSecond: perSecond * 0.3},
      {...base, route: 'read', priority: 2, perSecond: perSecond * 0.7},
    ]);
  },
);

Then(
  'the slot queue answers at least {int} in 100 of its capacity on time',
  (least: number) => {
    const read = results.get('read')!;
    assert.ok(
      read.onTime >= (capacity * least) / 100,
      JSON.stringify({capacity, ...read}),
    );
  },
);

Then(
  'the slot queue refuses at most {int} in 100 calls after a long wait',
  (most: number) => {
    const read = results.get('read')!;
    assert.ok(
      read.refusedLate <= (read.asked * most) / 100,
      JSON.stringify(read),
    );
  },
);

Then(
  'the slot queue serves at least {int} in 100 urgent calls on time',
  (least: number) => {
    const pay = results.get('pay')!;
    assert.ok(pay.onTime >= (pay.asked * least) / 100, JSON.stringify(pay));
  },
);

When(
  'a slot queue with {int} slots gets {int} calls at once',
  (slots, count) => {
    queue = new SlotQueue({slots});
    for (let i = 0; i < count; i++) {
      queue.tryEnter({id: `${i}`, deadline: new Deadline(10_000)}, 0);
    }
  },
);

Then('{int} calls run in the slot queue', (running: number) => {
  assert.equal(queue.inFlight, running);
});

Given(
  'a slot queue with {int} slot whose calls take {int} ms and {int} calls in it',
  (slots: number, ms: number, count: number) => {
    queue = new SlotQueue({slots});
    const deadline = new Deadline(100_000);
    queue.tryEnter({id: 'first', deadline}, 0);
    queue.finish('first', ms, ms);
    for (let i = 0; i < count; i++) {
      queue.tryEnter({id: `${i}`, deadline}, ms);
    }
  },
);

When('a call with {int} ms left enters the slot queue', (ms: number) => {
  const deadline = new Deadline(100 + ms);
  last = queue.tryEnter({id: 'more', deadline}, 100);
});

Then('the slot queue refuses it and names a time to return', () => {
  assert.equal(last.kind, 'refused');
  assert.ok(last.kind === 'refused' && (last.retryAfterMs ?? 0) >= 100);
});
