import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {seededRandom} from '@verbenabeam/core';
import {testSeed} from '@verbenabeam/testing';
import type {AdmissionDecision} from './admission-types.js';
import {Deadline} from './deadline.js';
import {replaySlots} from './fakes/slot-model.js';
import type {CallKind, KindResult} from './fakes/slot-model.js';
import {RetryingCallers} from './retrying-callers.js';
import {SlotQueue} from './slot-queue.js';

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

let retryingKind: CallKind;

function replayRetries(callers?: RetryingCallers): KindResult {
  const setup = {kinds: [retryingKind], slots: 11, seconds};
  const rng = seededRandom(testSeed());
  const replay = callers ? {...setup, callers} : setup;
  return replaySlots(new SlotQueue({slots: 11}), replay, rng).get('read')!;
}

When(
  'callers that retry once load a slot queue with {int} slots at {float} times its capacity',
  (slots: number, load: number) => {
    capacity = ((slots * 1_000) / workMs) * seconds;
    const perSecond = (load * capacity) / seconds;
    retryingKind = {
      ...base,
      route: 'read',
      priority: 1,
      perSecond,
      retriesOnce: true,
    };
    results = new Map([['read', replayRetries(new RetryingCallers())]]);
  },
);

Then(
  'the slot queue answers more calls on time than one that treats retries as new calls',
  () => {
    const recognised = results.get('read')!;
    const unrecognised = replayRetries();
    const seen = JSON.stringify({recognised, unrecognised});
    assert.ok(unrecognised.onTime < recognised.onTime, seen);
  },
);

let callers: RetryingCallers;

When(
  'a call that began at {int} ms with a timeout of {int} ms failed at {int} ms',
  (firstAt: number, timeoutMs: number, now: number) => {
    callers = new RetryingCallers();
    const attempt = {key: 'files/read/7', endsAt: firstAt + timeoutMs};
    callers.recordFailure(attempt, firstAt, now);
  },
);

When(
  'a call that began at {int} ms without a deadline failed at {int} ms',
  (firstAt: number, now: number) => {
    callers = new RetryingCallers();
    const attempt = {key: 'files/read/7', endsAt: Infinity};
    callers.recordFailure(attempt, firstAt, now);
  },
);

Then(
  'a call to the same path at {int} ms without a deadline counts as a new call',
  (now: number) => {
    const attempt = {key: 'files/read/7', endsAt: Infinity};
    assert.equal(callers.msSinceFirstAttempt(attempt, now), 0);
  },
);

Then(
  'a call to the same path at {int} ms with {int} ms left counts as a retry of a call that began {int} ms ago',
  (now: number, leftMs: number, ageMs: number) => {
    const attempt = {key: 'files/read/7', endsAt: now + leftMs};
    assert.equal(callers.msSinceFirstAttempt(attempt, now), ageMs);
  },
);

Then(
  'a call to the same path at {int} ms with {int} ms left counts as a new call',
  (now: number, leftMs: number) => {
    const attempt = {key: 'files/read/7', endsAt: now + leftMs};
    assert.equal(callers.msSinceFirstAttempt(attempt, now), 0);
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
      queue.tryAdmit({id: `${i}`, deadline: new Deadline(10_000)}, 0);
    }
  },
);

Then('the slot queue runs {int} calls', (running: number) => {
  assert.equal(queue.inFlight, running);
});

Given(
  'a slot queue with {int} slot, a service time of {int} ms and {int} calls in it',
  (slots: number, ms: number, count: number) => {
    queue = new SlotQueue({slots});
    const deadline = new Deadline(100_000);
    queue.tryAdmit({id: 'first', deadline}, 0);
    queue.finish('first', ms, ms);
    for (let i = 0; i < count; i++) {
      queue.tryAdmit({id: `${i}`, deadline}, ms);
    }
  },
);

When('a call with {int} ms left enters the slot queue', (ms: number) => {
  const deadline = new Deadline(100 + ms);
  last = queue.tryAdmit({id: 'more', deadline}, 100);
});

Then('the slot queue refuses the call and returns a retry delay', () => {
  assert.equal(last.kind, 'refused');
  assert.ok(last.kind === 'refused' && (last.retryAfterMs ?? 0) >= 100);
});

let announcing = {targetMs: 0, allowed: [] as string[]};

/** Announces calls and returns the ids of those that may send their bodies. */
function announceCalls(count: number, prefix: string): string[] {
  const ids = Array.from({length: count}, (_, i) => `${prefix}-${i}`);
  const targetAt = announcing.targetMs;
  const deadline = new Deadline(2 * targetAt);
  return ids.filter(
    id => !queue.announce({id, deadline, targetAt, route: 'upload'}, 0),
  );
}

Given(
  'a slot queue with {int} slots, all in use, and a service time of {int} ms',
  (slots: number, ms: number) => {
    queue = new SlotQueue({slots, initialServiceMs: ms});
    const deadline = new Deadline(Infinity);
    for (let i = 0; i < slots; i++) {
      queue.tryAdmit({id: `running-${i}`, deadline}, 0);
    }
  },
);

When(
  '{int} calls with bodies and a target of {int} ms are announced to the slot queue',
  (count: number, targetMs: number) => {
    announcing = {targetMs, allowed: []};
    announcing.allowed = announceCalls(count, 'first');
  },
);

Then(
  'the slot queue allows the bodies of at most {int} of these calls',
  (most: number) => {
    const {length} = announcing.allowed;
    assert.ok(length > 0 && length <= most, `${length}`);
  },
);

Then(
  'after the allowed calls are withdrawn the slot queue allows the bodies of as many other calls',
  () => {
    const {allowed} = announcing;
    for (const id of allowed) queue.withdraw(id);
    assert.equal(announceCalls(allowed.length, 'next').length, allowed.length);
  },
);
