import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {readTestRun} from '../../../scripts/lib/test-outcomes.mjs';

let lines: string[] = [];
let attempts = 0;

function add(message: Record<string, object>): void {
  lines.push(JSON.stringify(message));
}

function begin(name: string): string {
  const id = `attempt-${++attempts}`;
  add({testCaseStarted: {id, testCaseId: `case-${name}`}});
  return id;
}

function run(name: string, status: string): void {
  const testCaseStartedId = begin(name);
  add({testStepFinished: {testCaseStartedId, testStepResult: {status}}});
  add({testCaseFinished: {testCaseStartedId}});
}

Given(
  'a test run of the scenarios {string}, {string} and {string}',
  (first: string, second: string, third: string) => {
    lines = [];
    for (const name of [first, second, third]) {
      add({pickle: {id: name, name}});
      add({testCase: {id: `case-${name}`, pickleId: name}});
    }
  },
);

Given(
  'its scenario {string} has passed and its scenario {string} has begun',
  (passed: string, begun: string) => {
    run(passed, 'PASSED');
    begin(begun);
  },
);

Given('its scenario {string} has failed, then passed', (name: string) => {
  run(name, 'FAILED');
  run(name, 'PASSED');
});

When('the messages of the test run end with a line that was cut', () => {
  lines.push('{"testStepFin');
});

When('the test run ends', () => {
  add({testRunFinished: {}});
});

Then(/^the test run has (not )?ended$/, (not: string | null) => {
  assert.equal(readTestRun(lines).hasEnded, not === null);
});

Then('its passed scenarios are {string}', (names: string) => {
  const {outcomes} = readTestRun(lines);
  assert.equal(outcomes.length, 3);
  const passed = outcomes.filter(row => row.passed).map(row => row.name);
  assert.equal(passed.join(' '), names);
});
