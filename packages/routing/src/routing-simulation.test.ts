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
  'routing runs the simulated pool with a {string} instance',
  function (this: World, fault: keyof typeof faults) {
    this.fault = fault;
  },
);

// Guards against a choice by load reports alone or by round robin.
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
  'routing p99 of {string} is above the same bound',
  function (this: World, list: string) {
    const boundMs = 1.5 * run('healthy', 'picker').p99Ms;
    for (const name of namesOf(list)) {
      assert.ok(run(this.fault, name).p99Ms > boundMs, name);
    }
  },
);

// Guards against an instance that attracts calls because it fails fast.
Then(
  'routing sends at most {int}% of the calls to that instance with {string}',
  function (this: World, percent: number, list: string) {
    for (const name of namesOf(list)) {
      const {faultyShare} = run(this.fault, name);
      assert.ok(faultyShare * 100 <= percent, `${name}: ${faultyShare}`);
    }
  },
);

Then(
  'routing with {string} sends a larger share of the calls to that instance',
  function (this: World, list: string) {
    for (const name of namesOf(list)) {
      assert.ok(run(this.fault, name).faultyShare > 0.02, name);
    }
  },
);

When(
  'routing loads a server that has 12 slots and announces {int}',
  function (this: World, announced: number) {
    this.announced = announced;
  },
);

/** Goodput at twice the capacity, as a share of the goodput at capacity. */
function overloadRatio(announcedSlots: number, queue: OverloadSetup['queue']) {
  const setup = {seed, announcedSlots, realSlots: 12, queue};
  const atCapacity = goodput({...setup, load: 1});
  return goodput({...setup, load: 2}) / atCapacity;
}

/**
 * Goodput of a baseline at twice the capacity, as a share of the goodput of
 * `admission` at capacity. A baseline that is slow at capacity too would have a
 * high ratio to itself.
 */
function baselineRatio(announcedSlots: number, queue: OverloadSetup['queue']) {
  const setup = {seed, announcedSlots, realSlots: 12};
  const atCapacity = goodput({...setup, queue: 'admission', load: 1});
  return goodput({...setup, queue, load: 2}) / atCapacity;
}

// Guards against late responses to all calls where some should be refused at once.
Then(
  'routing goodput at twice the capacity is at least {int}% with {string}',
  function (this: World, percent: number, queue: OverloadSetup['queue']) {
    const ratio = overloadRatio(this.announced, queue);
    assert.ok(ratio * 100 >= percent, `ratio ${ratio}`);
  },
);

Then(
  'routing goodput at twice the capacity is below that share with {string}',
  function (this: World, queue: OverloadSetup['queue']) {
    const ratio = baselineRatio(this.announced, queue);
    assert.ok(ratio < 0.9, `ratio ${ratio}`);
  },
);

When(
  'routing runs a call chain of {int} levels whose deepest service fails',
  function (this: World, levels: number) {
    this.levels = levels;
  },
);

// Guards against retries at each level, which make 3^14 calls out of one.
Then(
  'routing calls the deepest service less than {float} times per root call',
  function (this: World, bound: number) {
    const setup = {levels: this.levels, calls: 2000};
    const figures = runChain({...setup, budget: true, propagateRetries: true});
    assert.ok(figures.amplification < bound, JSON.stringify(figures));
  },
);

Then(
  'routing calls the deepest service more often if either retry limit is disabled',
  function (this: World) {
    for (const budget of [true, false]) {
      const setup = {levels: this.levels, calls: 500};
      const figures = runChain({...setup, budget, propagateRetries: !budget});
      assert.ok(figures.amplification > 1.15, JSON.stringify(figures));
    }
  },
);

When(
  'routing runs 5 nodes while callers repeat a request that crashes the upstream',
  () => {
    assert.ok(seed > 0);
  },
);

// Guards against a caller whose request crashes one upstream after another.
Then('routing allows 2 crashes and quarantines no other request', () => {
  for (const repeaters of [1, 5]) {
    const setup = {seed, quarantine: true, notices: true, repeaters};
    const figures = runCrashes(setup);
    assert.equal(figures.crashes, 2);
    assert.equal(figures.innocentQuarantined, 0);
    assert.ok(figures.innocentBusy < figures.innocentCalls / 100);
  }
});

Then(
  'routing allows more crashes without notices or without the quarantine',
  () => {
    for (const quarantine of [true, false]) {
      const setup = {seed, quarantine, notices: false, repeaters: 1};
      assert.ok(runCrashes(setup).crashes > 2);
    }
  },
);
