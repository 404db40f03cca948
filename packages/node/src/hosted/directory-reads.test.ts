import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {seededRandom} from '@verbenabeam/core';
import {testSeed} from '@verbenabeam/testing';
import {DIRECTORY_READS, DirectoryReads} from './directory-reads.js';

const tickMs = 10;
/** Time in which the store writes an entry. */
const writeMs = 10;
const readCost: Readonly<Record<string, number>> = {
  [DIRECTORY_READS.fresh]: 1,
  [DIRECTORY_READS.stale]: 0.1,
  [DIRECTORY_READS.none]: 0,
};
/** Calls that create an entry. */
const listCost = 2;

interface Node {
  readonly reads: DirectoryReads;
  /** Nodes that know each other share a part. */
  part: number;
  /** Time at which the entry is in the directory. */
  listedAt: number;
  cost: number;
}

let nodes: Node[] = [];
let staleMs = 0;
let now = 0;
let random = seededRandom(1);

function start(count: number): void {
  for (let i = 0; i < count; i++) {
    const reads = new DirectoryReads(random);
    nodes.push({reads, part: nodes.length, listedAt: Infinity, cost: 0});
  }
}

function join(node: Node, found: readonly Node[]): void {
  const parts = new Set(found.map(({part}) => part));
  for (const other of nodes) {
    if (parts.has(other.part)) other.part = node.part;
  }
}

function step(node: Node): void {
  const isAlone = nodes.every(o => o === node || o.part !== node.part);
  const view = {isAlone, isListed: node.listedAt < now};
  const read = node.reads.next(view, now);
  node.cost += readCost[read] ?? 0;
  if (read === DIRECTORY_READS.none) return;
  const seenAt = read === DIRECTORY_READS.stale ? now - staleMs : now;
  const found = nodes.filter(o => o !== node && o.listedAt <= seenAt);
  join(node, found);
  const isFirst = read === DIRECTORY_READS.fresh && found.length === 0;
  if (!isFirst || node.listedAt < Infinity) return;
  node.listedAt = now + writeMs;
  node.cost += listCost;
}

function run(ms: number): void {
  for (const until = now + ms; now < until; now += tickMs) {
    for (const node of random.shuffle(nodes)) step(node);
  }
}

Given(
  'a node directory whose cheap reads are {int} ms old',
  (oldMs: number) => {
    random = seededRandom(testSeed());
    staleMs = oldMs;
    nodes = [];
    now = 0;
  },
);

When('{int} nodes of the directory start together', start);

When('{int} ms later one more node of the directory starts', (ms: number) => {
  run(ms);
  start(1);
});

Then(
  'after {int} ms all nodes of the directory are in one part',
  (ms: number) => {
    run(ms);
    assert.equal(new Set(nodes.map(({part}) => part)).size, 1);
  },
);

Then('at most {int} nodes of the directory are listed', (most: number) => {
  const listed = nodes.filter(({listedAt}) => listedAt < Infinity).length;
  assert.ok(listed <= most, `${listed} are listed`);
});

Then('the directory has cost at most {int} calls', (most: number) => {
  const cost = nodes.reduce((sum, node) => sum + node.cost, 0);
  assert.ok(cost <= most, `${cost} calls`);
});

Then(
  'the last node of the directory has cost at most {float} calls',
  (most: number) => {
    assert.ok((nodes.at(-1)?.cost ?? 0) <= most);
  },
);
