import assert from 'node:assert/strict';
import {setImmediate as settled} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {Result} from 'true-myth';
import {Invariants, seededRandom} from '@verbenabeam/core';
import {ManualClock, MemoryStore} from '@verbenabeam/store/fakes';
import {candidateOf, environment, textOf} from './fakes/candidates.js';
import {
  CompileAhead,
  DistributionDriver,
  Distributor,
  FullTextCap,
  PushPlanner,
  VersionTracker,
} from './index.js';
import type {ConfigPush} from './index.js';

const version = 2;
const mostTurns = 20;
const large = candidateOf(version, `${textOf(version)}# ${'x'.repeat(40_000)}`);
const push: ConfigPush = {
  environment,
  version,
  hash: large.hash,
  acceptedAt: large.acceptedAt,
  content: {text: large.text, textHash: ''},
  root: 'a',
  moves: [],
};

let driver: DistributionDriver;
let distributor: Distributor;
let pushed: string[];
let pulled: string[];
let turns: number;
let release: () => void;

Given('a distribution driver that gets a push of a large document', () => {
  [pushed, pulled, turns] = [[], [], 0];
  const waits: (() => void)[] = [];
  release = () => {
    for (const resume of waits.splice(0)) resume();
  };
  const ahead = new CompileAhead({
    pause: () => {
      turns++;
      return new Promise<void>(resolve => waits.push(resolve));
    },
  });
  const members = ['a', 'b', 'c'].map(nodeId => ({
    ...{nodeId, dataCentre: 'x', environment, relay: false},
    state: 'alive' as const,
  }));
  const self = {nodeId: 'a', dataCentre: 'x', environment};
  const strict = new Invariants(true);
  distributor = new Distributor({
    tracker: new VersionTracker(environment, strict, ahead.compile),
    planner: new PushPlanner({self, members: () => members}),
    cap: new FullTextCap(),
    random: seededRandom(1),
  });
  const clock = new ManualClock();
  driver = new DistributionDriver({
    environment,
    distributor,
    store: new MemoryStore({clock, sleep: () => Promise.resolve()}),
    clock,
    ahead,
    isRelay: () => false,
    sender: {
      push: to => pushed.push(to),
      pull: to => {
        pulled.push(to);
        return Promise.resolve(Result.ok({status: 'none'}));
      },
      askDigest: () => Promise.resolve(Result.ok(null)),
    },
  });
  assert.ok(driver.handlePush('b', fullPush()).isOk);
});

async function turnsOfOneCompilation(): Promise<number> {
  let count = 0;
  const pause = () => Promise.resolve(count++);
  await new CompileAhead({pause}).prepare(large.text);
  return count;
}

/** The push with the hash of its text, as the distribution makes it. */
function fullPush(): ConfigPush {
  const sender = new Distributor({
    tracker: new VersionTracker(environment, new Invariants(true)),
    planner: new PushPlanner({
      self: {nodeId: 'b', dataCentre: 'x', environment},
      members: () => [],
    }),
    cap: new FullTextCap(),
    random: seededRandom(1),
  });
  sender.onStoreVersion(large, false, 1_000);
  const have = {version: 0, hash: ''};
  const ask = {environment, have, newerThan: 0};
  const res = sender.onPullRequest(ask, 1_000);
  assert.ok(res.status === 'version');
  return {...push, content: res.value.content};
}

Then(
  'the large distribution push is forwarded at once and is not active yet',
  () => {
    assert.ok(pushed.length > 0);
    assert.equal(distributor.digest.version, 0);
  },
);

When(
  'the large distribution document arrives again, and a peer shows it',
  () => {
    assert.ok(driver.handlePush('c', fullPush()).isOk);
    const {hash} = large;
    assert.ok(driver.handleDigest('c', {environment, version, hash}).isOk);
  },
);

Then('the large distribution version is not pulled', () => {
  assert.deepEqual(pulled, []);
});

Then(
  'the large distribution version becomes active, forwarded once and compiled once',
  async () => {
    const forwarded = pushed.length;
    for (let i = 0; i < mostTurns && distributor.digest.version === 0; i++) {
      release();
      await settled();
    }
    assert.equal(distributor.digest.version, version);
    assert.equal(pushed.length, forwarded);
    assert.equal(turns, await turnsOfOneCompilation());
    assert.deepEqual(pulled, []);
  },
);
