import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {testSeed} from '@verbenabeam/testing';
import {DrillRun} from './test/drill-run.js';

const stepsPerSeed = 500;
const stepsByHand = Number(process.env['VERBENABEAM_DRILL_STEPS'] ?? 0);
/** Longest run by hand. */
const stepTimeoutMs = 24 * 3_600_000;
/** Steps before a fault that are printed. */
const printedSteps = 25;

let steps = 0;
let broken: string[] = [];

async function runSeeds(
  first: number,
  count: number,
  hasDrills: boolean,
): Promise<void> {
  steps = 0;
  broken = [];
  for (let i = 0; i * stepsPerSeed < count; i++) {
    const run = new DrillRun(first + i, hasDrills);
    await run.run(stepsPerSeed);
    steps += run.trace.length;
    if (run.faults.length === 0) continue;
    const trace = run.trace.slice(-printedSteps);
    broken.push(`seed ${first + i}`, ...trace, ...run.faults);
  }
}

When(
  /^a fleet takes (\d+) random steps (with|without) drills of its store$/,
  {timeout: stepTimeoutMs},
  (count: string, how: string) =>
    runSeeds(testSeed(), stepsByHand || Number(count), how === 'with'),
);

When(
  'a fleet takes {int} random steps of seed {int} with drills of its store',
  {timeout: stepTimeoutMs},
  (count: number, seed: number) => runSeeds(seed, count, true),
);

Then('the random steps of the fleet have broken no promise', () => {
  assert.deepEqual(broken, []);
  assert.ok(steps > 0);
});
