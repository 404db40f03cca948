import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import type {DataTable} from '@cucumber/cucumber';
import {seededRandom} from '@verbenabeam/core';
import {testSeed} from '@verbenabeam/testing';
import {Admission} from './admission.js';
import type {AdmissionDecision} from './admission-types.js';
import {Deadline} from './deadline.js';
import {InstancePicker} from './instance-picker.js';
import type {CallOutcome, Candidate} from './picker-types.js';
import {RetryBudget} from './retry-budget.js';

interface World {
  picker: InstancePicker;
  candidates: Candidate[];
  decided: Map<string, string[]>;
  late: number;
}

const rng = seededRandom(testSeed());
const idle = {inFlight: 0, queued: 0, slots: 12, serviceMs: 2};
const noDeadline = new Deadline(Infinity);
const codeOf = (d: AdmissionDecision | undefined) =>
  d?.kind === 'refused' ? d.code.code : d?.kind;

Given(
  'a routing picker with {int} instances',
  function (this: World, count: number) {
    this.picker = new InstancePicker({dataCentre: 'a'});
    this.candidates = Array.from({length: count}, (_, i) => ({
      nodeId: String(i),
      dataCentre: i < count / 2 ? 'a' : 'b',
      slots: 12,
      readySince: -Infinity,
    }));
  },
);

function pickMany(world: World, now: number, count: number, load = idle) {
  const {picker, candidates} = world;
  const chosen = new Map<string, number>();
  for (let i = 0; i < count; i++) {
    const picked = picker.pick('s', 'v', candidates, now, rng);
    const {nodeId} = picked.unwrapOr(candidates[0]!);
    chosen.set(nodeId, (chosen.get(nodeId) ?? 0) + 1);
    const report = {nodeId, outcome: 'ok', latencyMs: 2, load} as const;
    picker.report(report, now);
  }
  return chosen;
}

function reportTo(world: World, id: string, outcome: CallOutcome, now: number) {
  world.picker.report({nodeId: id, outcome, latencyMs: 1}, now);
}

When('routing finds each instance unreachable', function (this: World) {
  for (const c of this.candidates) reportTo(this, c.nodeId, 'unreachable', 0);
});

// Guards against ejecting all instances of a service when the network fails.
Then(
  'routing still chooses among {int} instances',
  function (this: World, count: number) {
    assert.equal(pickMany(this, 1, 200).size, count);
  },
);

Then(
  'routing ejects instance {string} for 1000, then 2000, 4000 and 8000 ms',
  function (this: World, id: string) {
    let now = 0;
    const untilOf = () =>
      this.picker.view(this.candidates, now).find(v => v.nodeId === id)!
        .ejectedUntil;
    for (const length of [1000, 2000, 4000, 8000]) {
      assert.equal(untilOf() - now, length);
      now = untilOf();
      reportTo(this, id, 'unreachable', now);
    }
  },
);

Then(
  'routing chooses the local data centre while it is idle',
  function (this: World) {
    const chosen = pickMany(this, 0, 200);
    assert.deepEqual([...chosen.keys()].sort(), ['0', '1']);
  },
);

// Guards against queueing locally while another data centre is idle.
Then(
  'routing chooses the other data centre when the local one is busy',
  function (this: World) {
    const busy = {inFlight: 12, queued: 60, slots: 12, serviceMs: 10};
    for (const nodeId of ['0', '1']) {
      const report = {
        nodeId,
        outcome: 'ok',
        latencyMs: 60,
        load: busy,
      } as const;
      this.picker.report(report, 1);
    }
    const chosen = pickMany(this, 1, 100);
    assert.deepEqual([...chosen.keys()].sort(), ['2', '3']);
  },
);

// Guards against a cold instance that gets a full share of the calls at once.
Then(
  'routing sends a new instance less than half of a full share after 1 s',
  function (this: World) {
    this.candidates = this.candidates.map(c => ({...c, dataCentre: 'a'}));
    this.candidates[0] = {...this.candidates[0]!, readySince: 0};
    const count = 4000;
    const share = (pickMany(this, 1000, count).get('0') ?? 0) / count;
    assert.ok(share > 0 && share < 0.125, `share ${share}`);
    const later = (pickMany(this, 20_000, count).get('0') ?? 0) / count;
    assert.ok(later > 0.2, `share after the slow start ${later}`);
  },
);

When(
  'routing admission runs {int} random sequences of calls',
  function (this: World, sequences: number) {
    this.decided = new Map();
    this.late = 0;
    for (let h = 0; h < sequences; h++) runSequence(this, h);
  },
);

function runSequence(world: World, sequence: number) {
  const slots = 1 + rng.below(4);
  const admission = new Admission({slots});
  const deadlines = new Map<string, number>();
  const running = new Set<string>();
  let now = 0;
  const note = (decisions: AdmissionDecision[]) => {
    for (const {kind, callId} of decisions) {
      if (kind === 'queued') continue;
      const seen = world.decided.get(callId) ?? [];
      world.decided.set(callId, [...seen, kind]);
      if (kind !== 'admitted') continue;
      running.add(callId);
      if (now >= deadlines.get(callId)!) world.late++;
      assert.ok(!admission.draining && running.size <= slots);
    }
  };
  for (let i = 0; i < 60; i++) {
    now += rng.below(20);
    const id = `${sequence}/${i}`;
    deadlines.set(id, now + rng.below(120));
    const deadline = new Deadline(deadlines.get(id)!);
    note([admission.tryAdmit({id, deadline}, now)]);
    if (rng.below(4) === 0) note(admission.expire(now));
    if (rng.below(10) === 0 && admission.cancel(id)) {
      world.decided.set(id, ['cancelled']);
    }
    const [first] = running;
    if (first !== undefined && rng.below(2) === 0) {
      running.delete(first);
      note(admission.finish(first, now));
      assert.deepEqual(admission.finish(first, now), []);
    }
  }
  note(admission.drain());
  for (const id of running) note(admission.finish(id, now));
  assert.ok(admission.drained);
  for (const id of deadlines.keys()) assert.ok(world.decided.has(id));
}

// Guards against a call with no decision, two decisions or a start that is too late.
Then(
  'routing admission decided once on each call and started none after its deadline',
  function (this: World) {
    for (const [id, kinds] of this.decided) assert.equal(kinds.length, 1, id);
    assert.equal(this.late, 0);
  },
);

/** An admission with one slot, in use by call `a`, and a service time of 10 ms. */
function busyAdmission(): Admission {
  const admission = new Admission({slots: 1});
  for (let i = 0; i < 20; i++) {
    admission.tryAdmit({id: `w${i}`, deadline: noDeadline}, i * 10);
    admission.finish(`w${i}`, i * 10 + 10);
  }
  admission.tryAdmit({id: 'a', deadline: noDeadline}, 1000);
  return admission;
}

Then(
  'routing admission refuses a call that cannot end in time with 1606',
  () => {
    const admission = busyAdmission();
    const enter = (ms: number) =>
      admission.tryAdmit(
        {id: `d${ms}`, deadline: new Deadline(1000 + ms)},
        1000,
      );
    assert.equal(codeOf(enter(15)), 1606);
    assert.equal(codeOf(enter(40)), 'queued');
    assert.deepEqual(admission.expire(1029), []);
    assert.deepEqual(admission.expire(1031).map(codeOf), [1606]);
  },
);

Then(
  'routing admission refuses queued and new calls with 1605 when it drains',
  () => {
    const admission = busyAdmission();
    admission.tryAdmit({id: 'b', deadline: noDeadline}, 1000);
    assert.deepEqual(admission.drain().map(codeOf), [1605]);
    assert.equal(
      codeOf(admission.tryAdmit({id: 'c', deadline: noDeadline}, 1001)),
      1605,
    );
    assert.ok(!admission.drained);
    admission.finish('a', 1002);
    assert.ok(admission.drained);
  },
);

Then('routing admission removes a queued call that is cancelled', () => {
  const admission = busyAdmission();
  admission.tryAdmit({id: 'b', deadline: noDeadline}, 1000);
  assert.ok(admission.cancel('b') && !admission.cancel('a'));
  assert.deepEqual(admission.finish('a', 1005), []);
});

// Guards against admitting only calls that are about to time out.
Then('routing admission admits the newest call first under overload', () => {
  const admission = busyAdmission();
  admission.tryAdmit({id: 'old', deadline: noDeadline}, 1000);
  admission.tryAdmit({id: 'new', deadline: noDeadline}, 1020);
  assert.equal(admission.finish('a', 1030)[0]?.callId, 'new');
});

Then('routing decides on retries by this table', (table: DataTable) => {
  for (const row of table.hashes()) {
    const decision = new RetryBudget().tryRetry(
      {
        service: 's',
        retriesLeft: Number(row['left']),
        deadline: noDeadline,
        expectedMs: 5,
        notRun: row['notRun'] === 'true',
        idempotent: row['idempotent'] === 'true',
        suspect: row['suspect'] === 'true',
      },
      0,
    );
    assert.equal(decision, row['decision']);
  }
});

Then('routing does not retry after the deadline or without budget', () => {
  const budget = new RetryBudget({share: 0.1, burst: 2});
  const retry = (deadline: Deadline) =>
    budget.tryRetry(
      {
        service: 's',
        retriesLeft: 1,
        deadline,
        expectedMs: 5,
        notRun: true,
        idempotent: false,
        suspect: false,
      },
      0,
    );
  assert.equal(retry(new Deadline(4)), 'deadline');
  assert.deepEqual(
    [1, 2, 3].map(() => retry(noDeadline)),
    ['granted', 'granted', 'budget'],
  );
  for (let i = 0; i < 11; i++) budget.recordCall('s');
  assert.equal(retry(noDeadline), 'granted');
});

Then(
  'routing accepts the deadline header {string} and refuses {string}',
  (good: string, bad: string) => {
    assert.ok(Deadline.parseRemaining(good).isOk);
    for (const text of bad.split(',')) {
      assert.ok(Deadline.parseRemaining(text).isErr, text);
    }
  },
);
