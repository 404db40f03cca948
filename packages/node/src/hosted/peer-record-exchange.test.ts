import assert from 'node:assert/strict';
import {setImmediate as turn} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {
  Invariants,
  MeshError,
  seededRandom,
  systemClock,
  WIRE_CODES,
} from '@verbenabeam/core';
import {testSeed} from '@verbenabeam/testing';
import {Result} from 'true-myth';
import type {OperatorFormat} from './operator-documents.js';
import {OperatorRecords} from './operator-records.js';
import {packRecord} from './packed-record.js';
import {PeerRecordExchange} from './peer-record-exchange.js';
import type {PeerRecordExchangeOptions} from './peer-record-exchange.js';
import {RecordProgress} from './record-progress.js';

type Answer = Result<unknown, MeshError>;
type NoticeHandler = (body: unknown, peer: {nodeId: string}) => void;

/** Event loop iterations in which all answers are handled. */
const settleTurns = 20;
const format = {
  parse: () => Result.ok(null),
} as unknown as OperatorFormat;

let records: OperatorRecords;
let notify: NoticeHandler = () => undefined;
let asked: string[] = [];
let storeReads = 0;
/** Answer of a peer to a pull. */
let answer: (peer: string) => Promise<Answer>;

function recordAt(revision: number) {
  return {key: 'config', revision, value: Buffer.from(`text ${revision}`)};
}

async function settle(): Promise<void> {
  for (let i = 0; i < settleTurns; i++) await turn();
}

Given('a node that pulls records from its peers', () => {
  asked = [];
  storeReads = 0;
  const random = seededRandom(testSeed());
  records = new OperatorRecords(format, new Invariants(), {
    onConfig: () => undefined,
    onOrder: () => undefined,
  });
  const options = {
    bus: {
      onRequest: () => undefined,
      onNotice: (_kind: string, handler: NoticeHandler) => {
        notify = handler;
      },
      notify: () => undefined,
      request: (peer: string) => {
        asked.push(peer);
        return answer(peer);
      },
    },
    membership: {
      own: {nodeId: 'a'},
      live: () => ['b', 'c', 'd'].map(nodeId => ({nodeId, configVersion: 0})),
      addressOf: (nodeId: string) => nodeId,
      gossip: {onPeerConfig: () => undefined, setConfig: () => undefined},
    },
    records,
    random,
    signal: new AbortController().signal,
    progress: new RecordProgress(systemClock),
    isWatching: () => false,
    onUnavailable: () => {
      storeReads++;
    },
  } as unknown as PeerRecordExchangeOptions;
  new PeerRecordExchange(options).start();
});

When(
  'peer {string} announces revision {int}, and peer {string} announces revision {int} during the pull from {string}',
  async (
    first: string,
    older: number,
    second: string,
    newer: number,
    _asked: string,
  ) => {
    let resolveAnswer: (answer: Answer) => void = () => undefined;
    const pending = new Promise<Answer>(resolve => {
      resolveAnswer = resolve;
    });
    const packed = (revision: number) =>
      Result.ok([packRecord(recordAt(revision))]);
    answer = peer =>
      peer === first ? pending : Promise.resolve(packed(newer));
    notify(older, {nodeId: first});
    await settle();
    notify(newer, {nodeId: second});
    resolveAnswer(packed(older));
    await settle();
  },
);

When(
  'peer {string} announces revision {int} and no peer can deliver it',
  async (peer: string, revision: number) => {
    const lost = new MeshError(WIRE_CODES.unreachable, 'closed');
    answer = () => Promise.resolve(Result.err(lost));
    notify(revision, {nodeId: peer});
    await settle();
  },
);

When(
  'peer {string} announces revision {int} and sends bytes that cannot be decompressed',
  async (peer: string, revision: number) => {
    const row = {key: 'config', revision, packed: Buffer.from('not deflated')};
    answer = () => Promise.resolve(Result.ok([row]));
    notify(revision, {nodeId: peer});
    await settle();
  },
);

When(
  'peer {string} announces revision {int} and sends {int} records of {int} bytes',
  async (peer: string, revision: number, count: number, bytes: number) => {
    const value = Buffer.alloc(bytes, 'x');
    const rows = Array.from({length: count}, (_, i) =>
      packRecord({key: `order/${i}`, revision, value}),
    );
    answer = () => Promise.resolve(Result.ok(rows));
    notify(revision, {nodeId: peer});
    await settle();
  },
);

Then(
  'the node holds revision {int} after pulls from {string}',
  (revision: number, peers: string) => {
    assert.equal(records.revision, revision);
    assert.equal(asked.join(', '), peers);
  },
);

Then('the node holds revision {int}', (revision: number) => {
  assert.equal(records.revision, revision);
});

Then('the node does not read the store', () => {
  assert.equal(storeReads, 0);
});

Then(
  'the node pulls from {int} peers and reads the store once',
  (count: number) => {
    assert.equal(asked.length, count);
    assert.equal(new Set(asked).size, count);
    assert.equal(asked[0], 'b');
    assert.equal(storeReads, 1);
  },
);
