import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {seededRandom} from '@verbenabeam/core';
import {testSeed} from '@verbenabeam/testing';
import {ConnectionCheckPolicy} from './connection-check-policy.js';
import {WatcherPolicy} from './watcher-policy.js';

const tickMs = 250;
/** Delay in ticks after which nodes see a change of another node. */
const viewDelayTicks = 2;

interface Node {
  readonly id: number;
  readonly policy: WatcherPolicy;
  readonly checks: ConnectionCheckPolicy;
}

/** Ids of the watchers at each tick. */
let watchersByTick: Set<number>[] = [];
/** Ids of the nodes that call the store, also those that it refuses. */
let callers = new Set<number>();
/** Ids of the nodes that have checked their connection. */
let checkers = new Set<number>();
/** Ids of the nodes that the store refuses. */
let refused = new Set<number>();
let nodes: Node[] = [];

function run(ms: number): void {
  for (let at = 0; at < ms; at += tickMs) {
    const now = watchersByTick.length * tickMs;
    const visible = watchersByTick.at(-viewDelayTicks) ?? new Set<number>();
    const live = new Set(nodes.map(({id}) => id));
    const calling = nodes.filter(({id, policy}) => {
      const others = [...visible].filter(o => o !== id && live.has(o));
      const rank = others.filter(o => o < id).length;
      const before = [...live].filter(o => o < id).length;
      const candidatesBefore = before - rank;
      return policy.next({count: others.length, rank, candidatesBefore}, now);
    });
    for (const {id, checks} of nodes) {
      const isBehind = [...visible].some(o => o < id && live.has(o));
      const isFirst = callers.has(id) && !isBehind;
      if (checks.next(isFirst, now)) checkers.add(id);
    }
    callers = new Set(calling.map(({id}) => id));
    const watchers = [...callers].filter(id => !refused.has(id));
    watchersByTick.push(new Set(watchers));
  }
}

Given(
  '{int} nodes of a data centre that decide which of them watch the store',
  (count: number) => {
    const random = seededRandom(testSeed());
    watchersByTick = [];
    refused = new Set();
    checkers = new Set();
    nodes = Array.from({length: count}, (_, id) => ({
      id,
      policy: new WatcherPolicy(random),
      checks: new ConnectionCheckPolicy(),
    }));
  },
);

When(
  '{int} ms pass and {int} of the nodes that watch the store end',
  (ms: number, lost: number) => {
    run(ms);
    const ended = [...(watchersByTick.at(-1) ?? [])].slice(0, lost);
    nodes = nodes.filter(({id}) => !ended.includes(id));
  },
);

Then(
  '(another ){int} ms later {int} nodes watch the store',
  (ms: number, expected: number) => {
    run(ms);
    assert.equal(watchersByTick.at(-1)?.size, expected);
  },
);

Then(
  '{int} ms later at least {int} nodes watch the store',
  (ms: number, least: number) => {
    run(ms);
    const size = watchersByTick.at(-1)?.size ?? 0;
    assert.ok(size >= least, `${size} watch`);
  },
);

When(
  '{int} ms pass and the store refuses the first {int} of the nodes',
  (ms: number, count: number) => {
    run(ms);
    refused = new Set(nodes.slice(0, count).map(({id}) => id));
  },
);

Then(
  '{int} ms later at least {int} nodes that reach the store watch it',
  (ms: number, least: number) => {
    run(ms);
    const size = watchersByTick.at(-1)?.size ?? 0;
    assert.ok(size >= least, `${size} watch`);
  },
);

Then(
  '{int} ms later at most {int} nodes call the store',
  (ms: number, most: number) => {
    run(ms);
    assert.ok(callers.size <= most, `${callers.size} call the store`);
  },
);

Then(
  '{int} ms later {int} nodes have checked their connection to the store',
  (ms: number, count: number) => {
    run(ms);
    assert.equal(checkers.size, count, [...checkers].join(' '));
  },
);
