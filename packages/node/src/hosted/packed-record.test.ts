import assert from 'node:assert/strict';
import {Given, Then} from '@cucumber/cucumber';
import {seededRandom} from '@verbenabeam/core';
import {testSeed} from '@verbenabeam/testing';
import type {OperatorRecord} from './operator-records.js';
import {packRecord, unpackRecord} from './packed-record.js';

const radix = 36;
const nameLimit = radix ** 7;
let record: OperatorRecord;

function recordOf(value: Uint8Array): OperatorRecord {
  return {key: 'config', revision: 7, value};
}

Given('an operator record of {int} routes', (count: number) => {
  const random = seededRandom(testSeed());
  const name = () => random.below(nameLimit).toString(radix);
  const routes = Array.from({length: count}, () => ({
    name: name(),
    kind: 'safe',
    targetMs: 832,
    match: {prefix: `/${name()}/`},
    action: {service: 'shop', timeoutMs: 1200, maxAttempts: 2},
  }));
  record = recordOf(Buffer.from(JSON.stringify({version: 7, routes})));
});

Given('an operator record of {int} equal bytes', (bytes: number) => {
  record = recordOf(Buffer.alloc(bytes, 'x'));
});

Then(
  'the operator record is compressed to at most a fifth of its bytes',
  () => {
    const {packed} = packRecord(record);
    assert.ok(packed.length * 5 <= record.value.length, `${packed.length}`);
  },
);

Then('the operator record is unchanged after decompression', () => {
  const unpacked = unpackRecord(packRecord(record));
  assert.deepEqual(Buffer.from(unpacked.value), record.value);
  assert.equal(unpacked.key, record.key);
  assert.equal(unpacked.revision, record.revision);
});

Then('the operator record is compressed only once for several sends', () => {
  assert.equal(packRecord(record), packRecord(record));
});

Then('the decompression of the operator record fails', () => {
  assert.throws(() => unpackRecord(packRecord(record)));
});
