import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {testSeed} from '@verbenabeam/testing';
import {measureDrill} from './test/drill-cost.js';
import type {DrillCost} from './test/drill-cost.js';
import {DrillRun} from './test/drill-run.js';

const stepsPerSeed = 500;
const stepsByHand = Number(process.env['VERBENABEAM_DRILL_STEPS'] ?? 0);
/** Longest run by hand. */
const stepTimeoutMs = 24 * 3_600_000;
/** Steps before a fault that are printed. */
const printedSteps = 25;

let steps = 0;
let broken: string[] = [];
let sizes: number[] = [];
let costs: DrillCost[] = [];

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

When(
  'the stores of fleets of {int} and of {int} nodes come back from a copy',
  {timeout: stepTimeoutMs},
  async (small: number, large: number) => {
    sizes = [small, large];
    costs = [];
    for (const size of sizes) costs.push(await measureDrill(size, testSeed()));
  },
);

Then(
  'the drill costs at most {int}% more calls for each watcher in the larger fleet',
  (percent: number) => {
    const [small = NaN, large = NaN] = costs.map(
      ({drill, watchers}) => drill / watchers,
    );
    assert.ok(large <= small * (1 + percent / 100), JSON.stringify(costs));
  },
);

Then(
  'the fleets make at most {int} calls of the store within a second of the drill',
  (most: number) => {
    for (const {peak} of costs) assert.ok(peak <= most, `${peak} calls`);
  },
);

Then(
  'all nodes of the fleets have the configuration written after the drill',
  () => {
    assert.deepEqual(
      costs.map(({upToDate}) => upToDate),
      sizes,
    );
  },
);
