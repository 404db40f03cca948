import assert from 'node:assert/strict';
import {Then} from '@cucumber/cucumber';
import {seededRandom} from '@verbenabeam/core';
import {testSeed} from '@verbenabeam/testing';
import {decode, encode} from 'cbor-x';
import {record} from './fakes/instance-record.js';
import {Gossip} from './gossip.js';
import {decodeGossip, encodeGossip} from './message-codec.js';
import type {GossipAction} from './messages.js';
import {encodeRecord} from './update.js';
import {UpdateQueue} from './update-queue.js';

const rng = seededRandom(testSeed());

// Guards against ids, addresses or times that the encoding changes.
Then('membership restores encoded messages unchanged', () => {
  const nodeId = '6b0a7c52-93f1-4d1e-8a44-000000000001';
  const now = 1_800_000_000_000;
  const upstream = {
    service: 's',
    version: 'v',
    state: 'ready',
    slots: 12,
    readySince: now - 0.5,
  } as const;
  const u = [
    record(),
    record({nodeId, incarnation: now, address: '10.0.0.1:65535', upstream}),
    record({nodeId: nodeId.toUpperCase(), address: '010.0.0.1:7'}),
    record({address: '10.0.0.1:70000', upstream: {...upstream, readySince: 0}}),
    record({address: '[::1]:7400', state: 'left', relay: true}),
  ].map(encodeRecord);
  const updates = [...u, [nodeId, now, 7] as [string, number, number]];
  const hashes = [0, 1, 0xffff_ffff];
  const b = Array.from({length: 64}, (_, i) => i * 60_000_000);
  const messages = [
    {k: 'updates', u: updates, urgent: true},
    {k: 'updates', u: [], urgent: false},
    {k: 'sums', b: [0, 63], h: hashes},
    {k: 'digest', b},
    {k: 'busy', ms: 1, to: ['10.0.0.1:1']},
  ] as const;
  for (const message of messages) {
    const body = decode(encode(encodeGossip(message as never))) as unknown;
    assert.deepEqual(decodeGossip(body), message);
  }
});

// Guards against malformed messages that make the receiver throw.
Then('membership rejects malformed packed messages', () => {
  const row = [new Uint8Array(3), 0, 0];
  const badAddress = ['a', 0, 0, new Uint8Array(2), 0, 0, false, 0, null];
  const bodies = [
    null,
    {k: 'updates', urgent: true, u: [0, [], [], [row]]},
    {k: 'updates', urgent: true, u: [0, [], [], [['a', -1, 0]]]},
    {k: 'updates', urgent: true, u: [0, [], [], [badAddress]]},
    {k: 'updates', urgent: true, u: 'text'},
    {k: 'digest', b: new Uint8Array(3)},
    {k: 'sums', b: [64], h: new Uint8Array(4)},
    {k: 'want', h: 'text'},
  ];
  for (const body of bodies) assert.equal(decodeGossip(body), null);
});

/** Two nodes with each other's record and a message exchange between them. */
function connectedPair() {
  const nodes = ['a:1', 'b:1'].map(address => {
    const own = record({nodeId: address, address});
    const gossip = new Gossip(own, rng, {probeMs: 1e6, digestMs: 1e6});
    gossip.start([], 0);
    return {address, gossip};
  });
  const [a, b] = nodes as [(typeof nodes)[0], (typeof nodes)[0]];
  a.gossip.table.merge(b.gossip.own, 0);
  b.gossip.table.merge(a.gossip.own, 0);
  /** Sends a digest from node a to b; returns all messages of the exchange. */
  const exchange = (): GossipAction[] => {
    const digest = {k: 'digest', b: a.gossip.table.digest()} as const;
    let pending: GossipAction[] = [{to: b.address, message: digest}];
    const sent: GossipAction[] = [];
    while (pending.length > 0 && sent.length < 100) {
      sent.push(...pending);
      pending = pending.flatMap(({to, message}) => {
        const [from, at] = to === a.address ? [b, a] : [a, b];
        return at.gossip.receive(from.address, message, 1);
      });
    }
    return sent;
  };
  return {a: a.gossip.table, b: b.gossip.table, exchange};
}

// Guards against diffs that contain whole buckets after a mass restart.
Then('membership exchanges only the records that differ', () => {
  const {a, b, exchange} = connectedPair();
  for (let i = 0; i < 500; i++) {
    const common = record({nodeId: `n${i}`, address: `${i}:1`});
    a.merge(common, 0);
    b.merge(common, 0);
  }
  a.merge(record({nodeId: 'n1', address: '1:1', sequence: 2}), 0);
  b.merge(record({nodeId: 'new', address: '2:1', incarnation: 2}), 0);
  const sent = exchange();
  const records = sent.flatMap(({message}) =>
    message.k === 'diff' ? message.u.map(([nodeId]) => nodeId) : [],
  );
  // The older record of n1 is sent too, as hashes do not show which is newer.
  assert.deepEqual(records.sort(), ['n1', 'n1', 'new']);
  assert.deepEqual(a.digest(), b.digest());
  assert.equal(a.get('n2')?.state, 'left');
});

// Guards against a node that stays live in one table after it has left.
Then('membership tells a peer which of its live members have left', () => {
  for (const leftAt of ['a', 'b'] as const) {
    const {exchange, ...tables} = connectedPair();
    for (const table of [tables.a, tables.b]) {
      table.merge(record({nodeId: 'x', address: 'x:1'}), 0);
    }
    tables[leftAt].merge(
      record({nodeId: 'x', address: 'x:1', state: 'left'}),
      0,
    );
    exchange();
    assert.equal(tables.a.get('x')?.state, 'left');
    assert.equal(tables.b.get('x')?.state, 'left');
  }
});

// Guards against changes that are dropped before all nodes have them.
Then(
  'membership counts received copies only while the update queue is long',
  () => {
    const updateOf = (i: number) => encodeRecord(record({nodeId: `n${i}`}));
    for (const [waiting, left] of [
      [80, 80],
      [81, 80],
    ] as const) {
      const queue = new UpdateQueue();
      for (let i = 0; i < waiting; i++) queue.add(updateOf(i));
      queue.take(0, 30);
      for (let i = 0; i < 10; i++) queue.countCopy(updateOf(0));
      assert.equal(queue.size, left);
    }
    const queue = new UpdateQueue();
    for (let i = 0; i < 100; i++) queue.add([`n${i}`, 1, 1]);
    queue.take(0, 30);
    for (let i = 0; i < 10; i++) queue.countCopy(['n0', 1, 1]);
    assert.equal(queue.size, 100);
  },
);
