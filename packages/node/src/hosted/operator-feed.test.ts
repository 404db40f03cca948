import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {seededRandom, systemClock} from '@verbenabeam/core';
import type {Entry, Store, WatchOptions} from '@verbenabeam/store';
import {testSeed} from '@verbenabeam/testing';
import {Result} from 'true-myth';
import {OperatorFeed} from './operator-feed.js';
import {RecordProgress} from './record-progress.js';

/** Longer than the retry delay of the feed. */
const settleMs = 1_000;

let end = new AbortController();
let feed: OperatorFeed;
let listedAt = 0;
let rows: Entry[] = [];
let lists = 0;
/** First revision of each watch, and the number of lists before it. */
let watches: {from: number; lists: number}[] = [];
let isWatchBehind = false;
let received: number[] = [];

After({tags: '@hosted'}, () => end.abort());

function entry(revision: number): Entry {
  const value = Buffer.from('x');
  const key = `key-${revision}`;
  return {key, value, revision, createRevision: revision, lease: null};
}

const store = {
  list: (_prefix: string, options: {onRevision?: (at: number) => void}) => {
    lists++;
    options.onRevision?.(listedAt);
    return Promise.resolve(Result.ok(rows));
  },
  watch: async ({fromRevision, signal, onBehind}: WatchOptions) => {
    watches.push({from: fromRevision, lists});
    if (isWatchBehind && watches.length === 1) onBehind?.();
    else
      await new Promise(resolve => signal.addEventListener('abort', resolve));
    return Result.ok(true);
  },
} as unknown as Store;

async function run(shouldWatch: boolean): Promise<void> {
  end = new AbortController();
  lists = 0;
  watches = [];
  received = [];
  feed = new OperatorFeed({
    store,
    prefix: 'key',
    random: seededRandom(testSeed()),
    signal: end.signal,
    progress: new RecordProgress(systemClock),
    onRecords: records => {
      received.push(...records.map(({revision}) => revision));
      // The second list of a feed that is behind still has new records.
      return lists <= 2;
    },
    onWatching: () => undefined,
  });
  if (!shouldWatch) feed.shouldWatch = false;
  void feed.run();
  await sleep(settleMs);
}

Given(
  'a store whose list at revision {int} has records of the revisions {int} and {int}',
  (at: number, first: number, second: number) => {
    listedAt = at;
    rows = [entry(first), entry(second)];
    isWatchBehind = false;
  },
);

Given('the watch of the store reports that it is behind', () => {
  isWatchBehind = true;
});

When('an operator feed reads it', () => run(true));

When('an operator feed that does not watch the store reads it', () =>
  run(false),
);

When('the feed is asked to read now', async () => {
  feed.readNow();
  await sleep(settleMs);
});

Then(
  'the feed delivers the revision {int} and watches from revision {int}',
  (revision: number, from: number) => {
    assert.deepEqual(received, [revision]);
    assert.deepEqual(
      watches.map(watch => watch.from),
      [from],
    );
  },
);

Then(
  'the feed delivers the revisions {int} and {int} and does not watch',
  (first: number, second: number) => {
    assert.deepEqual(received, [first, second]);
    assert.deepEqual(watches, []);
  },
);

Then('the feed has listed the records {int} times', (times: number) => {
  assert.equal(lists, times);
});

Then(
  'the feed has listed the records {int} times before its second watch',
  (times: number) => {
    assert.equal(watches[1]?.lists, times);
  },
);
