import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {testSeed} from '@verbenabeam/testing';
import type {Strictness} from '@verbenabeam/document';
import {FAULT_SIZES, allMechanisms, lowTraffic} from './test/trial-config.js';
import type {
  Disturbance,
  FaultEffect,
  FaultKind,
  GoodKind,
  TrialConfig,
} from './test/trial-config.js';
import {runTrials} from './test/trial-sets.js';
import type {TrialSummary} from './test/trial-sets.js';
import {MOVE_POLICIES} from './move-policy.js';

const ciTrials = 1;
const trials = Number(process.env['VERBENABEAM_TRIALS'] ?? ciTrials);
const requiredPart = 0.99;
const maxMedianShare = 0.02;
const maxLateMs = 1_000;
const seedStride = 10_000;
/**
 * A short move with little traffic, for trials in which the traffic does not
 * matter.
 */
const shortMove = {callsPerSecond: 20, deadlineMs: 600_000};
/** At a share of 1%, 20 calls/s give too few calls to show a late one. */
const shortBusyMove = {...shortMove, callsPerSecond: 200};
const timeout = 3_600_000;

let summary: TrialSummary;

async function run(
  kind: Partial<TrialConfig>,
  count = trials,
  disturbance: Disturbance | null = null,
): Promise<void> {
  const firstSeed = testSeed() * seedStride;
  summary = await runTrials(kind, count, firstSeed, disturbance);
}

function fault(effect: FaultEffect, kind: FaultKind): Partial<TrialConfig> {
  return {fault: {effect, kind, size: FAULT_SIZES[effect]}};
}

const explain = () => JSON.stringify(summary, null, 1);

When(
  'move trials run with a version of fault {string} {string}',
  {timeout},
  (effect: FaultEffect, kind: FaultKind) => run(fault(effect, kind)),
);

When(
  'move trials run with a good version and {string}',
  {timeout},
  (good: GoodKind) => run({good}),
);

When(
  'move trials run at 1 call\\/s with a version of fault {string} {string}',
  {timeout},
  (effect: FaultEffect, kind: FaultKind) =>
    run({...fault(effect, kind), ...lowTraffic}),
);

When(
  'move trials run under policy {string} with a version of fault {string} {string}',
  {timeout},
  (strictness: Strictness, effect: FaultEffect, kind: FaultKind) =>
    run({...fault(effect, kind), policy: MOVE_POLICIES[strictness]}),
);

When(
  'move trials run under policy {string} with a good version and {string}',
  {timeout},
  (strictness: Strictness, good: GoodKind) =>
    run({good, policy: MOVE_POLICIES[strictness], ...shortMove}),
);

When(
  'move trials with {string} run with a version of fault {string} {string}',
  {timeout},
  (disturbance: Disturbance, effect: FaultEffect, kind: FaultKind) =>
    run(fault(effect, kind), trials, disturbance),
);

When(
  'move trials with {string} run with a good version',
  {timeout},
  (disturbance: Disturbance) => run(shortMove, trials, disturbance),
);

When('move trials run with errors at once and without the tests', () => {
  const mechanisms = {...allMechanisms, tests: false};
  return run({...fault('errors', 'atOnce'), mechanisms, ...shortMove}, 1);
});

When('move trials run with errors at once and without pushes of stops', () => {
  const mechanisms = {...allMechanisms, stopPush: false};
  return run({...fault('errors', 'atOnce'), mechanisms, ...shortBusyMove}, 5);
});

When(
  'move trials run with a crashing request and without crash attribution',
  () => {
    const mechanisms = {...allMechanisms, crashAttribution: false};
    return run({good: 'crashingRequest', mechanisms, ...shortMove}, 3);
  },
);

When('move trials run with a slow start and without the cold filter', () => {
  const mechanisms = {...allMechanisms, coldFilter: false};
  const callsPerSecond = 200;
  return run({good: 'slowStart', mechanisms, ...shortMove, callsPerSecond}, 2);
});

Then('the move trials take back at least 99 in 100', () => {
  assert.ok(summary.takenBack >= requiredPart * summary.trials, explain());
});

Then(
  'the median move trial gives the bad version at most 2% of the traffic',
  () => {
    assert.ok(summary.badShare <= maxMedianShare, explain());
  },
);

Then(
  'no move trial sends a call to the new version later than 1 s after the decision to stop',
  () => {
    assert.ok(summary.lateMs <= maxLateMs, explain());
  },
);

Then(
  'a move trial sends a call to the new version later than 1 s after the decision to stop',
  () => {
    assert.ok(summary.lateMs > maxLateMs, explain());
  },
);

Then('the move trials finish on time at least 99 in 100', () => {
  assert.ok(summary.onTime >= requiredPart * summary.trials, explain());
});

Then('no move trial stores a step or a decision twice', () => {
  assert.equal(summary.rewrites, 0, explain());
});

Then('the move trials take back none', () => {
  assert.equal(summary.takenBack, 0, explain());
});

Then('the move trials take the good version back', () => {
  assert.ok(summary.takenBack > 0, explain());
});
