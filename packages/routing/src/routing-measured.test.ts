import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {testSeed} from '@verbenabeam/testing';
import {runChain} from './fakes/chain-model.js';
import {runCrashes} from './fakes/crash-model.js';
import {faults, policies, runPool} from './fakes/pool-model.js';
import type {PoolFigures} from './fakes/pool-model.js';
import {goodput} from './fakes/overload-model.js';
import type {OverloadSetup} from './fakes/overload-model.js';

interface World {
  fault: keyof typeof faults;
  announced: number;
  levels: number;
}

type PolicyName = keyof typeof policies;
const seed = testSeed();
const namesOf = (list: string) => list.split(', ') as PolicyName[];
const results = new Map<string, PoolFigures>();

function run(fault: keyof typeof faults, name: PolicyName): PoolFigures {
  const key = `${fault}/${name}`;
  const known = results.get(key);
  const figures = known ?? runPool(seed, faults[fault], policies[name]);
  results.set(key, figures);
  return figures;
}

When(
  'routing runs the pool with a {string} instance',
  function (this: World, fault: keyof typeof faults) {
    this.fault = fault;
  },
);

// Guards against choosing by load reports alone or by turn.
Then(
  'routing p99 of {string} is at most {float} times that of a healthy pool',
  function (this: World, list: string, times: number) {
    const boundMs = times * run('healthy', 'picker').p99Ms;
    for (const name of namesOf(list)) {
      const {p99Ms} = run(this.fault, name);
      assert.ok(p99Ms <= boundMs, `${name}: p99 ${p99Ms} over ${boundMs} ms`);
    }
  },
);

Then(
  'routing p99 of {string} is above that bound',
  function (this: World, list: string) {
    const boundMs = 1.5 * run('healthy', 'picker').p99Ms;
    for (const name of namesOf(list)) {
      assert.ok(run(this.fault, name).p99Ms > boundMs, name);
    }
  },
);

// Guards against an instance that attracts calls by failing fast.
Then(
  'routing sends at most {int}% of the calls of {string} to that instance',
  function (this: World, percent: number, list: string) {
    for (const name of namesOf(list)) {
      const {faultyShare} = run(this.fault, name);
      assert.ok(faultyShare * 100 <= percent, `${name}: ${faultyShare}`);
    }
  },
);

Then(
  'routing sends more of {string} to it',
  function (this: World, list: string) {
    for (const name of namesOf(list)) {
      assert.ok(run(this.fault, name).faultyShare > 0.02, name);
    }
  },
);

When(
  'routing loads a server of 12 slots that announces {int}',
  function (this: World, announced: number) {
    this.announced = announced;
  },
);

/** Goodput at twice the capacity as a share of that at capacity. */
function overloadRatio(announcedSlots: number, queue: OverloadSetup['queue']) {
  const setup = {seed, announcedSlots, realSlots: 12, queue};
  const atCapacity = goodput({...setup, load: 1});
  return goodput({...setup, load: 2}) / atCapacity;
}

/**
 * A baseline can keep the ratio by being slow at capacity as well, so it is
 * compared with the goodput of the admission at capacity.
 */
function baselineRatio(announcedSlots: number, queue: OverloadSetup['queue']) {
  const setup = {seed, announcedSlots, realSlots: 12};
  const atCapacity = goodput({...setup, queue: 'admission', load: 1});
  return goodput({...setup, queue, load: 2}) / atCapacity;
}

// Guards against answering calls too late instead of refusing some at once.
Then(
  'routing goodput at twice the capacity is at least {int}% with {string}',
  function (this: World, percent: number, queue: OverloadSetup['queue']) {
    const ratio = overloadRatio(this.announced, queue);
    assert.ok(ratio * 100 >= percent, `ratio ${ratio}`);
  },
);

Then(
  'routing goodput at twice the capacity is below that with {string}',
  function (this: World, queue: OverloadSetup['queue']) {
    const ratio = baselineRatio(this.announced, queue);
    assert.ok(ratio < 0.9, `ratio ${ratio}`);
  },
);

When(
  'routing runs a chain of {int} levels whose deepest service fails',
  function (this: World, levels: number) {
    this.levels = levels;
  },
);

// Guards against a retry at each level, 3^14 calls for one.
Then(
  'routing calls to the deepest service stay below {float} per call',
  function (this: World, bound: number) {
    const setup = {levels: this.levels, calls: 2000};
    const figures = runChain({...setup, budget: true, travelling: true});
    assert.ok(figures.amplification < bound, JSON.stringify(figures));
  },
);

Then(
  'routing calls exceed that with either limit turned off',
  function (this: World) {
    for (const budget of [true, false]) {
      const setup = {levels: this.levels, calls: 500};
      const figures = runChain({...setup, budget, travelling: !budget});
      assert.ok(figures.amplification > 1.15, JSON.stringify(figures));
    }
  },
);

When(
  'routing runs 5 nodes with a crashing request that its callers repeat',
  () => {
    assert.ok(seed > 0);
  },
);

// Guards against a caller that takes down one upstream after the other.
Then('routing sees 2 crashes and no innocent request is quarantined', () => {
  for (const repeaters of [1, 5]) {
    const setup = {seed, quarantine: true, notices: true, repeaters};
    const figures = runCrashes(setup);
    assert.equal(figures.crashes, 2);
    assert.equal(figures.innocentQuarantined, 0);
    assert.ok(figures.innocentBusy < figures.innocentCalls / 100);
  }
});

Then('routing sees more crashes without notices or quarantine', () => {
  for (const quarantine of [true, false]) {
    const setup = {seed, quarantine, notices: false, repeaters: 1};
    assert.ok(runCrashes(setup).crashes > 2);
  }
});
