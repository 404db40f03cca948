/** Prints the results of all models: `node packages/routing/dist/fakes/measure.js`. */
import {testSeed} from '@verbenabeam/testing';
import {runChain} from './chain-model.js';
import {runCrashes} from './crash-model.js';
import {goodput} from './overload-model.js';
import type {OverloadSetup} from './overload-model.js';
import {faults, policies, runPool} from './pool-model.js';

const seed = testSeed();
const print = (label: string, value: unknown) =>
  process.stdout.write(`${label} ${JSON.stringify(value)}\n`);

print('seed', seed);
for (const [name, fault] of Object.entries(faults)) {
  for (const [policy, factory] of Object.entries(policies)) {
    print(`pool ${name} ${policy}`, runPool(seed, fault, factory));
  }
}
for (const announcedSlots of [12, 24]) {
  for (const queue of ['admission', 'fixedLimit', 'unbounded'] as const) {
    const at = (load: number) => {
      const setup: OverloadSetup = {
        seed,
        load,
        announcedSlots,
        realSlots: 12,
        queue,
      };
      return goodput(setup);
    };
    print(`goodput announced=${announcedSlots} ${queue}`, {
      atCapacity: at(1),
      atTwice: at(2),
    });
  }
}
for (const [budget, propagateRetries] of [
  [false, false],
  [true, false],
  [false, true],
  [true, true],
] as const) {
  const calls = budget || propagateRetries ? 10_000 : 1;
  const figures = runChain({levels: 14, calls, budget, propagateRetries});
  print(`chain budget=${budget} travelling=${propagateRetries}`, figures);
}
for (const repeaters of [1, 5]) {
  for (const [quarantine, notices] of [
    [false, false],
    [true, false],
    [true, true],
  ] as const) {
    print(
      `crash repeaters=${repeaters} quarantine=${quarantine} notices=${notices}`,
      runCrashes({seed, quarantine, notices, repeaters}),
    );
  }
}
