import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {Admission} from './admission.js';
import {Deadline} from './deadline.js';

const far = new Deadline(Infinity);
const warmUpCalls = 200;

let admission: Admission;
let now: number;
let nextId: number;

/** Runs one call that holds its slot for `heldMs`. */
function runCall(heldMs: number, serviceMs: number): void {
  const id = `n${nextId++}`;
  assert.equal(admission.tryAdmit({id, deadline: far}, now).kind, 'admitted');
  now += heldMs;
  admission.finish(id, now, serviceMs);
}

Given(
  'a routing admission with {int} slots whose calls take {int} ms',
  (slots: number, ms: number) => {
    admission = new Admission({slots});
    now = 0;
    nextId = 0;
    for (let i = 0; i < warmUpCalls; i++) runCall(ms, ms);
  },
);

When(
  '{int} routing streams of {int} s end one after the other',
  (count: number, seconds: number) => {
    const headMs = 2;
    for (let i = 0; i < count; i++) runCall(seconds * 1_000, headMs);
  },
);

When('{int} routing calls take {int} ms', (count: number, ms: number) => {
  for (let i = 0; i < count; i++) runCall(ms, ms);
});

Then(
  'the routing admission still admits {int} calls at once',
  (count: number) => {
    for (let i = 0; i < count; i++) {
      const call = {id: `a${i}`, deadline: far};
      assert.equal(admission.tryAdmit(call, now).kind, 'admitted');
    }
  },
);

When(
  '{int} routing streams are answered and {int} routing calls take {int} ms',
  (streams: number, calls: number, ms: number) => {
    for (let i = 0; i < streams; i++) {
      const id = `s${i}`;
      const entered = admission.tryAdmit({id, deadline: far}, now);
      assert.equal(entered.kind, 'admitted');
      admission.responseStarted(id, now, ms);
    }
    for (let i = 0; i < calls; i++) runCall(ms, ms);
  },
);

Then('the routing admission queues one call more', () => {
  const call = {id: 'more', deadline: far};
  assert.equal(admission.tryAdmit(call, now).kind, 'queued');
});
