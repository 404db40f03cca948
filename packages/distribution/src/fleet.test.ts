import assert from 'node:assert/strict';
import {Then} from '@cucumber/cucumber';
import fc from 'fast-check';
import {testSeed} from '@verbenabeam/testing';
import {FLEET_ACTIONS, runActions} from './fakes/fleet-actions.js';
import type {FleetAction, FleetActionKind} from './fakes/fleet-actions.js';
import {FleetRun} from './fakes/fleet-run.js';

/** Set to a number of seconds for the long mode with fresh seeds. */
const longSeconds = Number(process.env['VERBENABEAM_LONG_SECONDS'] ?? 0);
const fixedSeeds = [testSeed(), 20_261, 77_003];
const runsPerSeed = 6;
const maxActions = 120;
const maxShrinkMs = 60_000;
const maxChoice = 1_000;

const kinds = Object.keys(FLEET_ACTIONS) as FleetActionKind[];
const choice = fc.nat(maxChoice);
const actionArb: fc.Arbitrary<FleetAction> = fc.record({
  kind: fc.oneof(fc.constantFrom(...kinds), fc.constant('submit' as const)),
  a: choice,
  b: choice,
});

async function checkSeed(seed: number) {
  let steps = 0;
  let commits = 0;
  const property = fc.asyncProperty(
    fc.nat(),
    fc.array(actionArb, {maxLength: maxActions, size: 'max'}),
    async (runSeed, actions) => {
      const run = new FleetRun(runSeed);
      const faults = await runActions(run, actions);
      steps += run.scheduler.steps;
      commits += run.commits.length;
      assert.deepEqual(faults, []);
    },
  );
  const details = await fc.check(property, {
    seed,
    numRuns: runsPerSeed,
    interruptAfterTimeLimit: maxShrinkMs,
    markInterruptAsFailure: false,
  });
  if (details.failed) {
    const [runSeed, actions] = details.counterexample ?? [];
    const shown = actions?.map(row => JSON.stringify(row)).join('\n');
    assert.fail(
      `VERBENABEAM_SEED=${seed}, run seed ${runSeed}, shortest sequence ` +
        `found (${actions?.length} actions):\n${shown}\n` +
        `${String(details.errorInstance)}`,
    );
  }
  return {steps, commits};
}

Then(
  'the distribution guarantees hold in randomised runs of a small fleet',
  {timeout: (longSeconds + 120) * 1_000},
  async () => {
    const totals = {steps: 0, commits: 0};
    const check = async (seed: number) => {
      const {steps, commits} = await checkSeed(seed);
      totals.steps += steps;
      totals.commits += commits;
    };
    for (const seed of fixedSeeds) await check(seed);
    const endsAt = Date.now() + longSeconds * 1_000;
    while (Date.now() < endsAt) {
      const seed = Math.floor(Math.random() * 2 ** 31);
      process.stdout.write(`fleet run VERBENABEAM_SEED=${seed}\n`);
      await check(seed);
    }
    process.stdout.write(
      `fleet runs: ${totals.steps} steps, ${totals.commits} versions\n`,
    );
    // A run without changes proves nothing.
    assert.ok(totals.steps > 5_000 && totals.commits > 50);
  },
);

const startMs = 30_000;
const betweenMs = 10_000;

/** Returns the time in ms until all nodes but the acceptor have version 2. */
async function activationTime(isCutOff: boolean): Promise<number> {
  const run = new FleetRun(testSeed());
  await run.advance(startMs);
  run.submit(0, 'policy.strictness = "fast"');
  await run.advance(betweenMs);
  const acceptor = run.node(0);
  if (isCutOff) run.link.cut(new Set([acceptor.nodeId]));
  run.submit(0, 'policy.strictness = "careful"');
  const others = run.nodes.filter(node => node !== acceptor);
  const startedAt = run.scheduler.now();
  const isBehind = () =>
    others.some(node => node.process.tracker.digest.version < 2);
  while (isBehind() && run.scheduler.now() < startedAt + startMs) {
    await run.advance(1);
  }
  return run.scheduler.now() - startedAt;
}

Then(
  'a distribution fleet activates a change everywhere within {int} ms',
  async (limit: number) => {
    const ms = await activationTime(false);
    assert.ok(ms <= limit, `${ms} ms`);
  },
);

Then(
  'a distribution fleet activates a change of a cut off node within {int} ms',
  async (limit: number) => {
    const ms = await activationTime(true);
    assert.ok(ms <= limit, `${ms} ms`);
  },
);
