import assert from 'node:assert/strict';
import {Then} from '@cucumber/cucumber';
import type {DataTable} from '@cucumber/cucumber';
import {seededRandom} from '@verbenabeam/core';
import {testSeed} from '@verbenabeam/testing';
import {record} from './fakes/instance-record.js';
import {Gossip} from './gossip.js';
import type {InstanceRecord} from './instance-record.js';
import {TableServer} from './join-policy.js';
import {MemberTable} from './member-table.js';
import type {FakeCluster} from './fakes/fake-cluster.js';
import {decodeRecord, encodeRecord, updateSchema} from './update.js';
import {UpstreamMonitor} from './upstream-monitor.js';

const rng = seededRandom(testSeed());

// Guards against fixed windows, which allow twice the limit at their border.
Then('membership serves at most {int} tables in any second', (most: number) => {
  const server = new TableServer();
  const asked = [0, 950, 960, 970, 980, 1000, 1010, 1020, 1030, 1949, 1950];
  const served = asked.filter(at => server.tryServe(at, most));
  assert.deepEqual(served, [0, 950, 960, 970, 1000, 1950]);
});

// Guards against tables that differ forever after reordered updates.
Then(
  'membership tables are equal after {int} random orders of the same records',
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
      // Tables ignore `left` records of unknown members, so add all first.
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

Then(
  'membership ignores a stale suspicion and record but accepts a refutation',
  () => {
    const table = new MemberTable();
    table.merge(record({sequence: 2}), 0);
    assert.ok(!table.suspect(['a', 1, 1], 0));
    assert.ok(table.suspect(['a', 1, 2], 0));
    table.expire(3000, 3000);
    assert.equal(table.get('a')?.state, 'dead');
    assert.ok(!table.merge(record({sequence: 2}), 4000));
    assert.ok(table.merge(record({sequence: 3}), 4000));
    assert.equal(table.live().length, 1);
  },
);

// Guards against regions that stay separate as each marked the other dead.
Then(
  'membership revives a dead member after 60 s by a record with the same key',
  () => {
    const table = new MemberTable();
    table.merge(record(), 0);
    table.suspect(['a', 1, 1], 0);
    table.expire(3000, 3000);
    assert.ok(!table.merge(record(), 62_999));
    assert.ok(table.merge(record(), 63_000));
    assert.equal(table.get('a')?.state, 'alive');
  },
);

// Guards against changes that are lost when updates reach the send limit.
Then('membership synchronizes two tables by digest exchanges', () => {
  const addresses = ['a:1', 'b:1'];
  const nodes = addresses.map(address => {
    const own = record({nodeId: address, address});
    return new Gossip(own, rng, {digestMs: 100, probeMs: 1e6});
  });
  const known = Array.from({length: 300}, (_, i) =>
    record({nodeId: String(i), address: `${i}:1`, sequence: i}),
  );
  let pending = nodes.flatMap((node, i) => {
    for (const other of nodes) node.table.merge(other.own, 0);
    for (const r of known) if (r.sequence % 2 === i) node.table.merge(r, 0);
    return node.start([], 0).map(action => ({from: i, action}));
  });
  for (let now = 0; now < 120_000; now += 100) {
    const sent = pending;
    pending = nodes.flatMap((node, i) =>
      node.tick(now).map(action => ({from: i, action})),
    );
    for (const {from, action} of sent) {
      const to = addresses.indexOf(action.to);
      const replies = nodes[to]?.receive(addresses[from]!, action.message, now);
      for (const reply of replies ?? [])
        pending.push({from: to, action: reply});
    }
  }
  const [a, b] = nodes.map(node => node.table);
  assert.equal(b!.live().length, known.length + 2);
  assert.deepEqual(a!.digest(), b!.digest());
});

Then('membership replaces the former process at the same address', () => {
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
  'membership keeps at most {int} dead members of {int}',
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

Then('membership restores each encoded record unchanged', () => {
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
    const informed = new Set<number>();
    const [first, ...others] = this.cluster.nodes;
    for (const {index, gossip} of others) {
      gossip.onPeerConfig((peer, config) => {
        const isMatch = config.version === version && config.hash === hash;
        if (isMatch && peer.address === first!.address) informed.add(index);
      });
    }
    first!.gossip.setConfig(version, hash);
    this.cluster.run(12_000);
    assert.equal(informed.size, others.length);
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

// Guards against late announcements that make a leaving upstream ready again.
Then('membership monitor reports these upstream states', (table: DataTable) => {
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

Then(
  'membership monitor rejects malformed announcements with error 1501',
  () => {
    const monitor = new UpstreamMonitor();
    const faults = [{slots: 0}, {state: 'up'}, {address: 'host:1'}, {extra: 1}];
    for (const fault of faults) {
      const body = {...announcement, state: 'ready', ...fault};
      const result = monitor.announce(body, 0, 0);
      assert.ok(result.isErr && result.error.code.code === 1501);
    }
    assert.equal(monitor.record, null);
  },
);
