import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {testSeed} from '@verbenabeam/testing';
import {encode} from 'cbor-x';
import {decodeGossip, encodeGossip} from './message-codec.js';
import {gossipMessageSchema} from './messages.js';
import type {GossipMessage} from './messages.js';
import {FakeCluster} from './fakes/fake-cluster.js';
import type {ClusterOptions} from './fakes/fake-cluster.js';
import {runRandomFaults} from './fakes/random-run.js';
import type {RunFigures} from './fakes/random-run.js';

interface Observation {
  readonly observer: number;
  readonly address: string;
}

interface World {
  cluster: FakeCluster;
  sent: {from: number; to: string; at: number; message: GossipMessage}[];
  deaths: Observation[];
  suspicions: Observation[];
  runs: {seed: number; figures: RunFigures}[];
}

const fixedSeeds = [1, 2, 3, 9, 13];
const longSeeds = Number(process.env['VERBENABEAM_LONG_SEEDS'] ?? 0);

function seedsToRun(): number[] {
  const further = Array.from({length: longSeeds}, (_, i) => testSeed() + i);
  return [...fixedSeeds, ...further];
}

When(
  'membership runs {int} nodes under random faults with several seeds',
  function (this: World, size: number) {
    this.runs = seedsToRun().map(seed => {
      const cluster = new FakeCluster({seed, size});
      // Even seeds start with empty tables, like a first deployment.
      cluster.startAll(seed % 2 === 0);
      cluster.run(20_000);
      const figures = runRandomFaults(cluster);
      if (longSeeds > 0) {
        process.stdout.write(`seed=${seed} ${JSON.stringify(figures)}\n`);
      }
      return {seed, figures};
    });
  },
);

function checkRuns(world: World, value: (f: RunFigures) => number, s: number) {
  for (const {seed, figures} of world.runs) {
    const ms = value(figures);
    assert.ok(ms <= s * 1000, `seed ${seed}: ${ms} ms`);
  }
}

// Guards against live instances that receive no calls.
Then(
  'membership misses no live node for more than {int} s',
  function (this: World, s: number) {
    checkRuns(this, f => f.worstMissingMs, s);
  },
);

Then(
  'membership keeps no dead process for more than {int} s',
  function (this: World, s: number) {
    checkRuns(this, f => f.worstGoneMs, s);
  },
);

Then(
  'membership tables agree within {int} s after the last fault',
  function (this: World, s: number) {
    checkRuns(this, f => f.agreedAfterMs, s);
  },
);

function startCluster(
  world: World,
  size: number,
  options: Pick<ClusterOptions, 'dataCentres' | 'gossip'> = {},
): void {
  world.sent = [];
  world.deaths = [];
  world.suspicions = [];
  world.cluster = new FakeCluster({
    seed: testSeed(),
    size,
    ...options,
    onMessage: (from, message, to) => {
      world.sent.push({from, to, at: world.cluster.now, message});
    },
  });
  const {cluster} = world;
  cluster.startAll();
  for (const {index, gossip} of cluster.nodes) {
    gossip.table.onChange(({after}) => {
      const seen = {observer: index, address: after.address};
      if (after.state === 'dead') world.deaths.push(seen);
      if (after.state === 'suspect') world.suspicions.push(seen);
    });
  }
  cluster.run(5000);
  world.sent.length = 0;
}

Given(
  'a membership cluster of {int} nodes',
  function (this: World, size: number) {
    startCluster(this, size);
  },
);

Given(
  'a membership cluster of {int} nodes in {int} data centres that sends {float} of the probes to others',
  function (this: World, size: number, dataCentres: number, share: number) {
    startCluster(this, size, {dataCentres, gossip: {remoteShare: share}});
  },
);

Then(
  'membership sends at most {float} of its messages to other data centres',
  function (this: World, most: number) {
    this.cluster.run(30_000);
    const {nodes} = this.cluster;
    const dataCentres = new Map(
      nodes.map(({address, gossip}) => [address, gossip.own.dataCentre]),
    );
    const remote = this.sent.filter(
      ({from, to}) =>
        dataCentres.get(to) !== nodes[from]?.gossip.own.dataCentre,
    );
    const share = remote.length / this.sent.length;
    assert.ok(share > 0.1 && share <= most, `share ${share}`);
  },
);

When(
  'membership regions are partitioned for {int} s',
  function (this: World, s: number) {
    this.cluster.faults.blocked = (from, to) => from % 2 !== to % 2;
    this.cluster.run(s * 1000, () => {
      this.sent.length = 0;
    });
  },
);

Then(
  'membership tables list only nodes of the same region',
  function (this: World) {
    for (const {index, gossip} of this.cluster.live) {
      const seen = gossip.table.live().map(r => r.dataCentre);
      assert.equal(seen.length, this.cluster.live.length / 2, `node ${index}`);
    }
    this.cluster.faults.blocked = () => false;
  },
);

Then(
  'membership tables agree {int} s later',
  function (this: World, s: number) {
    this.cluster.run(s * 1000);
    assert.ok(this.cluster.agrees());
  },
);

// Guards against calls to an instance that is leaving.
Then(
  'membership shows {int} draining upstreams everywhere within 3 s at {int}% loss',
  function (this: World, count: number, percent: number) {
    const {cluster} = this;
    cluster.faults.loss = percent / 100;
    for (const node of cluster.rng.shuffle(cluster.nodes).slice(0, count)) {
      cluster.setUpstream(node, 'draining');
      cluster.run(3000);
      const {nodeId} = node.gossip.own;
      for (const {index, gossip} of cluster.live) {
        const seen = gossip.table.get(nodeId)?.upstream?.state;
        assert.equal(seen, 'draining', `node ${node.index} at ${index}`);
      }
    }
  },
);

When('membership loses the nodes of a data centre', function (this: World) {
  for (const {index} of this.cluster.nodes) {
    if (this.cluster.dataCentreOf(index) === 0) this.cluster.kill(index);
  }
});

When(
  'membership restarts a third of the nodes at once',
  function (this: World) {
    for (const {index} of [...this.cluster.nodes]) {
      if (index % 3 === 2) this.cluster.restart(index);
    }
    this.cluster.run(5000);
  },
);

// Guards against a seed that is overloaded by a mass restart.
Then(
  'membership seeds serve at most {int} tables in a second',
  function (this: World, most: number) {
    const tables = this.sent.filter(s => s.message.k === 'table');
    assert.ok(tables.length > 0);
    for (const {from, at} of tables) {
      const within = tables.filter(
        t => t.from === from && t.at >= at && t.at < at + 1000,
      );
      assert.ok(within.length <= most, `${within.length} by node ${from}`);
    }
    const refused = this.sent.some(s => s.message.k === 'busy');
    assert.ok(refused, 'the restart was too small to reach the limit');
  },
);

// Guards against exchanges that send whole tables after a mass restart.
Then(
  'membership sends at most {int} bytes per node and second over {int} s',
  function (this: World, most: number, seconds: number) {
    this.cluster.run(seconds * 1000 - 5000);
    const bytes = this.sent.map(
      ({message}) => encode(encodeGossip(message)).length,
    );
    const sum = bytes.reduce((a, b) => a + b, 0);
    const rate = sum / this.cluster.live.length / seconds;
    assert.ok(rate <= most, `rate ${rate}`);
  },
);

When(
  'membership link {int} to {int} works in one direction only for {int} s',
  function (this: World, from: number, to: number, s: number) {
    this.cluster.faults.blocked = (a, b) => a === from && b === to;
    this.cluster.run(s * 1000);
  },
);

Then('membership has declared no node dead', function (this: World) {
  assert.deepEqual(this.deaths, []);
});

When(
  'membership node {int} is paused for {int} ms at a time',
  function (this: World, index: number, ms: number) {
    for (let i = 0; i < 5; i++) {
      this.cluster.pause(index, ms);
      this.cluster.run(8000);
    }
  },
);

When(
  'membership node {int} receives no messages for {int} s',
  function (this: World, index: number, s: number) {
    this.cluster.faults.blocked = (_from, to) => to === index;
    this.cluster.run(s * 1000);
  },
);

// Guards against one faulty node that makes others declare healthy ones dead.
Then(
  'membership has declared no node dead except by or for node {int}',
  function (this: World, index: number) {
    const address = this.cluster.nodes[index]!.address;
    const others = this.deaths.filter(
      d => d.observer !== index && d.address !== address,
    );
    assert.deepEqual(others, []);
  },
);

// Guards against a process that suspects others because of its own pause.
Then(
  'membership has suspected only node {int}',
  function (this: World, index: number) {
    const {address} = this.cluster.nodes[index]!;
    const addresses = new Set(this.suspicions.map(s => s.address));
    assert.deepEqual([...addresses], [address]);
    this.suspicions.length = 0;
  },
);

Then(
  'membership nodes other than {int} have suspected at most {int} others',
  function (this: World, index: number, most: number) {
    const {address} = this.cluster.nodes[index]!;
    const seen = this.suspicions.filter(
      s => s.observer !== index && s.address !== address,
    );
    const addresses = new Set(seen.map(s => s.address));
    assert.ok(addresses.size <= most, `${addresses.size} suspected`);
  },
);

When('membership restarts all nodes at once', function (this: World) {
  for (const {index} of [...this.cluster.nodes]) this.cluster.restart(index);
});

Then(
  'membership sends at most {float} valid messages per node and second',
  function (this: World, most: number) {
    const seconds = 30;
    this.cluster.run(seconds * 1000);
    const rate = this.sent.length / this.cluster.live.length / seconds;
    assert.ok(rate > 1 && rate <= most, `rate ${rate}`);
    for (const {message} of this.sent) {
      assert.ok(gossipMessageSchema.safeParse(message).success, message.k);
      assert.deepEqual(decodeGossip(encodeGossip(message)), message);
    }
  },
);
