import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {Admission} from './admission.js';
import {Deadline} from './deadline.js';

const noDeadline = new Deadline(Infinity);
const warmUpCalls = 200;

let admission: Admission;
let now: number;
let nextId: number;

/** Runs one call that uses its slot for `slotMs`. */
function runCall(slotMs: number, serviceMs: number): void {
  const id = `n${nextId++}`;
  assert.equal(
    admission.tryAdmit({id, deadline: noDeadline}, now).kind,
    'admitted',
  );
  now += slotMs;
  admission.finish(id, now, serviceMs);
}

Given(
  'a routing admission with {int} slots and a service time of {int} ms',
  (slots: number, ms: number) => {
    admission = new Admission({slots});
    now = 0;
    nextId = 0;
    for (let i = 0; i < warmUpCalls; i++) runCall(ms, ms);
  },
);

When(
  '{int} routing streams of {int} s run one after another',
  (count: number, seconds: number) => {
    const headMs = 2;
    for (let i = 0; i < count; i++) runCall(seconds * 1_000, headMs);
  },
);

When('{int} routing calls take {int} ms each', (count: number, ms: number) => {
  for (let i = 0; i < count; i++) runCall(ms, ms);
});

Then(
  'the routing admission still admits {int} concurrent calls',
  (count: number) => {
    for (let i = 0; i < count; i++) {
      const call = {id: `a${i}`, deadline: noDeadline};
      assert.equal(admission.tryAdmit(call, now).kind, 'admitted');
    }
  },
);

When(
  '{int} routing streams start their responses and {int} routing calls take {int} ms each',
  (streams: number, calls: number, ms: number) => {
    for (let i = 0; i < streams; i++) {
      const id = `s${i}`;
      const entered = admission.tryAdmit({id, deadline: noDeadline}, now);
      assert.equal(entered.kind, 'admitted');
      admission.responseStarted(id, now, ms);
    }
    for (let i = 0; i < calls; i++) runCall(ms, ms);
  },
);

Then('the routing admission queues one more call', () => {
  const call = {id: 'more', deadline: noDeadline};
  assert.equal(admission.tryAdmit(call, now).kind, 'queued');
});
