import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {Invariants, MeshError, STORE_CODES} from '@verbenabeam/core';
import type {Clock} from '@verbenabeam/core';
import {encodePosition, keptPosition} from '@verbenabeam/store';
import {Result} from 'true-myth';
import type {OperatorDocument, OperatorFormat} from './operator-documents.js';
import {OperatorRecords} from './operator-records.js';

const msPerSecond = 1_000;

let records: OperatorRecords;
let nowMs = 0;
let taken: string[] = [];
let moved: string[] = [];

/** Texts are `config 5` and `order v2`. */
const format = {
  parse: (_key: string, value: Uint8Array) => {
    const [kind, what = ''] = Buffer.from(value).toString('utf8').split(' ');
    const documents: Readonly<Record<string, unknown>> = {
      config: {
        kind: 'config',
        snapshot: {version: Number(what), document: {routes: []}},
      },
      order: {
        kind: 'order',
        order: {service: 'shop', targetVersion: what, durationMs: 1_000},
      },
    };
    const found = documents[kind ?? ''];
    return found === undefined
      ? Result.err(new MeshError(STORE_CODES.rejected, 'unreadable'))
      : Result.ok(found as OperatorDocument);
  },
} as unknown as OperatorFormat;

/** @param text - For example `2:17` or `2:17 kept`. */
function positionOf(text: string): number {
  const [place = '', kept] = text.split(' ');
  const [era = 0, revision = 0] = place.split(':').map(Number);
  const position = encodePosition(era, revision);
  return kept === undefined ? position : keptPosition(position);
}

function recordOf(key: string, text: string, at: string) {
  return {key, revision: positionOf(at), value: Buffer.from(text)};
}

Given('a node with operator records', () => {
  taken = [];
  moved = [];
  nowMs = 0;
  const clock = {now: () => nowMs} as unknown as Clock;
  const listener = {
    onConfig: () => undefined,
    onOrder: ({order}: {order: {targetVersion: string}}) => {
      taken.push(order.targetVersion);
    },
    onOrderMoved: ({order}: {order: {targetVersion: string}}) => {
      moved.push(order.targetVersion);
    },
  };
  records = new OperatorRecords(format, new Invariants(), listener, clock);
});

Given(
  'the operator records get {string} with configuration {int} at {string}',
  (key: string, version: number, at: string) => {
    records.offer([recordOf(key, `config ${version}`, at)]);
  },
);

Given(
  'the operator records get {string} with order {string} at {string}',
  (key: string, target: string, at: string) => {
    records.offer([recordOf(key, `order ${target}`, at)]);
  },
);

Given(
  'the operator records read a whole store with configuration {int} at {string}',
  (version: number, at: string) => {
    const found = [recordOf('config', `config ${version}`, at)];
    records.offer(found, {isComplete: true});
  },
);

When('{int} s pass for the operator records', (seconds: number) => {
  nowMs += seconds * msPerSecond;
});

Then(
  'the operator records have configuration {int} in force',
  (version: number) => {
    assert.equal(records.snapshot?.version, version);
  },
);

Then(
  /^the operator records give peers "(\w+)" with (?:configuration|order) "?(\w+)"? at "([^"]+)"$/,
  (key: string, what: string, at: string) => {
    const found = records.since(0).find(record => record.key === key);
    assert.ok(found);
    const text = Buffer.from(found.value).toString('utf8');
    assert.equal(text.split(' ')[1], what);
    assert.equal(found.revision, positionOf(at));
  },
);

Then('the operator records took the orders {string}', (targets: string) => {
  assert.equal(taken.join(' '), targets);
});

Then('the operator records moved the orders {string}', (targets: string) => {
  assert.equal(moved.join(' '), targets);
});
