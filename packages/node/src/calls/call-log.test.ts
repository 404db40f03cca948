import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {CallLog} from './call-log.js';
import type {CallRecord} from './call-record.js';

let log: CallLog;

Given('a data path log of {int} calls', (capacity: number) => {
  log = new CallLog(capacity);
});

When('{int} data path calls are logged', (count: number) => {
  for (let i = 0; i < count; i++) {
    log.onCall({callId: String(i)} as CallRecord);
  }
});

Then(
  'the data path log contains only calls {int} to {int}',
  (from: number, to: number) => {
    assert.equal(log.size, to - from + 1);
    assert.equal(log.find(String(from - 1)), null);
    const ids = log.latest(log.size).map(r => Number(r.callId));
    assert.deepEqual(
      ids,
      Array.from({length: log.size}, (_, i) => to - i),
    );
  },
);
