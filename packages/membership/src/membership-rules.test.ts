import assert from 'node:assert/strict';
import {Then} from '@cucumber/cucumber';
import type {DataTable} from '@cucumber/cucumber';
import {seededRandom} from '@verbenabeam/core';
import {testSeed} from '@verbenabeam/testing';
import {Gossip} from './gossip.js';
import type {InstanceRecord} from './instance-record.js';
import {MemberTable} from './member-table.js';
import type {FakeCluster} from './model/fake-cluster.js';
import {decodeRecord, encodeRecord, updateSchema} from './update.js';
import {UpstreamMonitor} from './upstream-monitor.js';

const rng = seededRandom(testSeed());

function record(change: Partial<InstanceRecord> = {}): InstanceRecord {
  return {
    nodeId: 'a',
    incarnation: 1,
    sequence: 1,
    address: '10.0.0.1:1',
    dataCentre: 'dc',
    region: 'r',
    environment: 'e',
    state: 'alive',
    upstream: null,
    relay: false,
    configVersion: 0,
    ...change,
  };
}

// Guards against tables that differ for ever after crossing updates.
Then(
  'membership tables agree after {int} random orders of the same records',
  (orders: number) => {
    const records = ['a', 'b', 'c'].flatMap((nodeId, i) =>
      ['alive', 'suspect', 'left'].flatMap(state =>
        [1, 2].map(sequence =>
          record({
            nodeId,
            sequence,
            incarnation: i < 2 ? 1 + i : 1,
            address: i < 2 ? 'shared:1' : 'c:1',
            state: state as InstanceRecord['state'],
          }),
        ),
      ),
    );
    const results = new Set<string>();
    for (let i = 0; i < orders; i++) {
      const table = new MemberTable();
      // An unknown member that left is ignored, so each is known at first.
      for (const r of [
        ...records.filter(x => x.sequence === 1 && x.state === 'alive'),
        ...rng.shuffle(records),
      ]) {
        table.merge(r, 0);
      }
      const states = ['a', 'b', 'c'].map(id => table.get(id)?.state);
      results.add(JSON.stringify([states, table.digest()]));
    }
    assert.equal(results.size, 1);
  },
);

Then('membership ignores a stale death and accepts a refutation', () => {
  const table = new MemberTable();
  table.merge(record({sequence: 2}), 0);
  assert.ok(!table.suspect(['a', 1, 1], 0));
  assert.ok(table.suspect(['a', 1, 2], 0));
  table.expire(3000, 3000);
  assert.equal(table.get('a')?.state, 'dead');
  assert.ok(!table.merge(record({sequence: 2}), 4000));
  assert.ok(table.merge(record({sequence: 3}), 4000));
  assert.equal(table.live().length, 1);
});

Then('membership replaces a predecessor at the same address', () => {
  const table = new MemberTable();
  table.merge(record(), 0);
  table.merge(record({nodeId: 'b', incarnation: 2}), 0);
  table.merge(record({sequence: 9}), 0);
  assert.deepEqual(
    table.live().map(r => r.nodeId),
    ['b'],
  );
});

Then('membership lets a process with a slow clock keep its address', () => {
  const gossip = new Gossip(record({nodeId: 'new'}), rng);
  gossip.start([], 0);
  const u = [encodeRecord(record({nodeId: 'old', incarnation: 50}))];
  gossip.receive('x:1', {k: 'updates', u, urgent: false}, 1);
  assert.ok(gossip.own.incarnation > 50);
  assert.deepEqual(
    gossip.table.live().map(r => r.nodeId),
    ['new'],
  );
});

Then(
  'membership remembers at most {int} dead members of {int}',
  (most: number, count: number) => {
    const table = new MemberTable({maxDead: most});
    for (let i = 0; i < count; i++) {
      const change = {nodeId: String(i), address: `${i}:1`};
      table.merge(record(change), 0);
      table.merge(record({...change, state: 'suspect'}), 0);
      table.expire(5000, 1000);
    }
    assert.equal(table.dead().length, most);
  },
);

Then('membership keeps each record through its compact form', () => {
  const upstream = {
    service: 's',
    version: 'v',
    state: 'draining',
    slots: 12,
    readySince: 5,
  } as const;
  for (const r of [record(), record({upstream, state: 'suspect'})]) {
    const tuple = updateSchema.parse(encodeRecord(r));
    assert.deepEqual(decodeRecord(tuple as never), r);
  }
});

Then(
  'membership reports version {int} with hash {string} to all peers',
  function (this: {cluster: FakeCluster}, version: number, hash: string) {
    const heard = new Set<number>();
    const [first, ...others] = this.cluster.nodes;
    for (const {index, gossip} of others) {
      gossip.onPeerConfig((peer, config) => {
        const isMatch = config.version === version && config.hash === hash;
        if (isMatch && peer.address === first!.address) heard.add(index);
      });
    }
    first!.gossip.setConfig(version, hash);
    this.cluster.run(12_000);
    assert.equal(heard.size, others.length);
    const {nodeId} = first!.gossip.own;
    for (const {gossip} of others) {
      assert.equal(gossip.table.get(nodeId)?.configVersion, version);
    }
  },
);

const announcement = {
  service: 's',
  version: 'v1',
  address: '127.0.0.1:8080',
  slots: 12,
};

// Guards against a late announcement that makes a leaver ready again.
Then('membership monitor shows these states', (table: DataTable) => {
  const monitor = new UpstreamMonitor();
  for (const row of table.hashes()) {
    const at = Number(row['at']);
    const state = row['announced'];
    if (state) monitor.announce({...announcement, state}, at, at);
    else monitor.tick(at);
    assert.equal(monitor.record?.state, row['state'], `at ${at}`);
  }
  assert.equal(monitor.record?.readySince, 9000);
});

Then('membership monitor refuses malformed announcements with 1501', () => {
  const monitor = new UpstreamMonitor();
  const faults = [{slots: 0}, {state: 'up'}, {address: 'host:1'}, {extra: 1}];
  for (const fault of faults) {
    const body = {...announcement, state: 'ready', ...fault};
    const result = monitor.announce(body, 0, 0);
    assert.ok(result.isErr && result.error.code.code === 1501);
  }
  assert.equal(monitor.record, null);
});
