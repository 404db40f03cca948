import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {Invariants} from '@verbenabeam/core';
import {decodePosition, encodePosition} from '@verbenabeam/store';
import {Result} from 'true-myth';
import type {OperatorFormat} from './operator-documents.js';
import {OperatorRecords} from './operator-records.js';
import {packedRecords, unpackRecords} from './packed-record.js';
import {
  answerPull,
  newerNoticeOf,
  probeConfigOf,
  pullRequestOf,
  readNewerNotice,
  readProbeConfig,
} from './record-messages.js';

const format = {
  parse: () => Result.ok(null),
} as unknown as OperatorFormat;
/** Longest hash that a probe carries. */
const maxHashLength = 16;

let records: OperatorRecords;
let got: string[] = [];

function positionOf(text: string): number {
  const [era = 0, revision = 0] = text.split(':').map(Number);
  return encodePosition(era, revision);
}

function recordsAt(places: readonly string[]): OperatorRecords {
  const found = new OperatorRecords(format, new Invariants(), {
    onConfig: () => undefined,
    onOrder: () => undefined,
  });
  const rows = places.map(place => ({
    key: place,
    revision: positionOf(place),
    value: Buffer.from(place),
  }));
  found.offer(rows);
  return found;
}

function pull(body: unknown, knowsEras: boolean): void {
  const rows = packedRecords.parse(answerPull(records, body));
  // A build without eras does not read the position.
  const read = knowsEras
    ? rows
    : rows.map(row => ({...row, position: undefined}));
  got = unpackRecords(read).map(({revision}) => {
    const found = decodePosition(revision);
    return `${found.era}:${found.revision}`;
  });
}

Given('records of a peer at {string}', (places: string) => {
  records = recordsAt(places.split(' '));
});

When(
  /^a build (with|without) eras pulls what is newer than "([^"]+)"$/,
  (build: string, from: string) => {
    const knowsEras = build === 'with';
    const body = knowsEras
      ? pullRequestOf(recordsAt([from]), false)
      : {since: decodePosition(positionOf(from)).revision};
    pull(body, knowsEras);
  },
);

When(
  'a starting node that holds the last of them and another at {string} pulls',
  (other: string) => {
    const last = records.since(0).at(-1);
    assert.ok(last);
    pull(pullRequestOf(recordsAt([last.key, other]), true), true);
  },
);

Then(
  'the pull gets records at {string} as the build reads them',
  (places: string) => {
    assert.equal(got.join(' '), places);
  },
);

Then(
  'a notice of {string} is read as {string} by a build with eras',
  (sent: string, read: string) => {
    const body = newerNoticeOf(positionOf(sent), true);
    assert.equal(readNewerNotice(body), positionOf(read));
  },
);

Then(
  'a notice of {string} is the number {int} for a build without eras',
  (sent: string, plain: number) => {
    assert.equal(newerNoticeOf(positionOf(sent), false), plain);
  },
);

Then(
  'a probe with {string} is read as {string} with eras and as {int} without',
  (sent: string, read: string, plain: number) => {
    const [version, hash] = probeConfigOf(positionOf(sent));
    assert.ok(hash.length <= maxHashLength);
    assert.equal(readProbeConfig(version, hash), positionOf(read));
    assert.equal(version, plain);
  },
);
