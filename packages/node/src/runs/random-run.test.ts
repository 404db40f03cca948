import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {testSeed} from '@verbenabeam/testing';
import {perform} from './test/run-actions.js';
import {describeSteps, stepsOf} from './test/run-step.js';
import type {Step} from './test/run-step.js';
import {RunWorld} from './test/run-world.js';
import {shorten} from './test/shorten.js';

/** Runs at once; most of a run is waiting. */
const parallel = 3;
const ciTimeoutMs = 120_000;
const longTimeoutMs = 3_600_000;
const longRuns = Number(process.env['VERBENABEAM_RUNS'] ?? 30);
const shortenMs = Number(process.env['VERBENABEAM_SHORTEN_MS'] ?? 60_000);

let broken: string[] = [];
let totals: Record<string, number> = {};

/** Returns what a run broke. */
async function run(steps: readonly Step[]): Promise<string[]> {
  const world = new RunWorld();
  try {
    await world.start();
    for (const step of steps) {
      perform(world, step);
      await world.sleep(step.gapMs);
      for (const member of world.members) member.sampleVersion();
    }
    await world.finish();
  } finally {
    await world.close();
  }
  for (const [kind, count] of Object.entries(world.callers.counts)) {
    totals[kind] = (totals[kind] ?? 0) + count;
  }
  return [...world.violations];
}

/** Runs the seeds; the first failing one is reported with its fewest steps. */
async function runSeeds(seeds: number[], count: number): Promise<void> {
  broken = [];
  totals = {};
  while (seeds.length > 0 && broken.length === 0) {
    const batch = seeds.splice(0, parallel);
    const results = await Promise.all(
      batch.map(async seed => ({seed, found: await run(stepsOf(seed, count))})),
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
  const steps = await shorten(stepsOf(seed, count), fails, shortenMs);
  const head = `seed ${seed}, ${count} steps, shortened to ${steps.length}:`;
  broken = [`${head}\n${describeSteps(steps)}`, ...found];
  print(broken.join('\n'));
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
  assert.deepEqual(broken, []);
});

Then(
  'the random runs had answers, refusals, repeated writes and cut calls',
  () => {
    const answered = ['/read ok', '/write ok', '/put ok'];
    // 1703 refuses a key that another call holds.
    for (const kind of [...answered, '/read refused', '/read cut', '1703']) {
      assert.ok((totals[kind] ?? 0) > 0, `${kind}: ${JSON.stringify(totals)}`);
    }
  },
);
