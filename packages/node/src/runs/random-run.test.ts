import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {testSeed} from '@verbenabeam/testing';
import {performStep} from './test/step-actions.js';
import {describeSteps, generateSteps} from './test/test-step.js';
import type {Step} from './test/test-step.js';
import {TestMesh} from './test/test-mesh.js';
import {shrink} from './test/shrink.js';

/** Concurrent runs; a run mostly waits. */
const parallel = 3;
const ciTimeoutMs = 120_000;
const longTimeoutMs = 3_600_000;
const longRuns = Number(process.env['VERBENABEAM_RUNS'] ?? 30);
const shrinkLimitMs = Number(process.env['VERBENABEAM_SHORTEN_MS'] ?? 60_000);

let violations: string[] = [];
let totals: Record<string, number> = {};

/** Runs the steps and returns the violations. */
async function run(steps: readonly Step[]): Promise<string[]> {
  const mesh = new TestMesh();
  try {
    await mesh.start();
    for (const step of steps) {
      performStep(mesh, step);
      await mesh.sleep(step.gapMs);
      for (const instance of mesh.instances) instance.checkVersion();
    }
    await mesh.finish();
  } finally {
    await mesh.close();
  }
  for (const [kind, count] of Object.entries(mesh.callers.counts)) {
    totals[kind] = (totals[kind] ?? 0) + count;
  }
  return [...mesh.violations];
}

/**
 * Runs the seeds until one fails, and reports that one with its steps shrunk.
 */
async function runSeeds(seeds: number[], count: number): Promise<void> {
  violations = [];
  totals = {};
  while (seeds.length > 0 && violations.length === 0) {
    const batch = seeds.splice(0, parallel);
    const results = await Promise.all(
      batch.map(async seed => ({
        seed,
        found: await run(generateSteps(seed, count)),
      })),
    );
    const failed = results.find(({found}) => found.length > 0);
    if (failed) await report(failed.seed, count, failed.found);
  }
}

async function report(
  seed: number,
  count: number,
  found: readonly string[],
): Promise<void> {
  const fails = async (steps: readonly Step[]) => (await run(steps)).length > 0;
  const steps = await shrink(generateSteps(seed, count), fails, shrinkLimitMs);
  const head = `seed ${seed}, ${count} steps, shortened to ${steps.length}:`;
  violations = [`${head}\n${describeSteps(steps)}`, ...found];
  print(violations.join('\n'));
}

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

When(
  'random runs of {int} steps are made with {int} seeds from {int}',
  {timeout: ciTimeoutMs},
  async (count: number, seeds: number, from: number) => {
    await runSeeds(
      Array.from({length: seeds}, (_, i) => from + i),
      count,
    );
  },
);

When(
  'long random runs of {int} steps are made',
  {timeout: longTimeoutMs},
  async (count: number) => {
    const from = testSeed();
    print(`random runs with seeds ${from} to ${from + longRuns - 1}`);
    await runSeeds(
      Array.from({length: longRuns}, (_, i) => from + i),
      count,
    );
    print(JSON.stringify(totals));
  },
);

Then('no random run broke a guarantee', () => {
  assert.deepEqual(violations, []);
});

Then(
  'the random runs had answers, refusals, repeated writes and cut calls',
  () => {
    const answered = ['/read ok', '/write ok', '/put ok'];
    // Result code 1703 refuses a key that is claimed by another call.
    for (const kind of [...answered, '/read refused', '/read cut', '1703']) {
      assert.ok((totals[kind] ?? 0) > 0, `${kind}: ${JSON.stringify(totals)}`);
    }
  },
);
