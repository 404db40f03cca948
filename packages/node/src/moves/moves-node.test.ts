import assert from 'node:assert/strict';
import {setMaxListeners} from 'node:events';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {Invariants, seededRandom} from '@verbenabeam/core';
import {compile} from '@verbenabeam/document';
import {
  capacityShare,
  encodeRecord,
  latencyBin,
  latencyBinCount,
  moveKey,
} from '@verbenabeam/moves';
import type {Evidence, LoadEstimate, MoveRecord} from '@verbenabeam/moves';
import {ManualClock, MemoryStore} from '@verbenabeam/store/fakes';
import {testSeed} from '@verbenabeam/testing';
import {ControllerDriver} from './controller-driver.js';
import {EvidenceSender} from './evidence-sender.js';
import {MOVE_KINDS} from './move-messages.js';
import {MovesService} from './moves-service.js';
import {FakeMesh} from './test/fake-mesh.js';
import type {FakeNode} from './test/fake-mesh.js';

const record: MoveRecord = {
  moveId: 'm1',
  service: 's',
  from: 'v1',
  to: 'v2',
  step: 3,
  share: 0.25,
  reached: 0.25,
  state: 'running',
  reason: 'started',
  deadline: 4e12,
  decidedBy: 'n1',
  operationId: 'op3',
  changedAt: 0,
};
const text = `
[services.s]
versions = ["v1", "v2"]
current = "v1"
[[routes]]
name = "r"
service = "s"
path_prefix = "/"
timeout = "1s"
[[moves]]
id = "m1"
service = "s"
to = "v2"
deadline = 2090-01-01T00:00:00Z
`;
const document = compile(text).unwrapOrElse(err => assert.fail(err.message));
const snapshot = {
  environment: 'trial',
  version: 1,
  hash: 'h',
  acceptedAt: 0,
  document,
};

let mesh: FakeMesh;
let services: MovesService[] = [];
let senders: EvidenceSender[];
let controllerAt: number;
let arrived: number;
let load: LoadEstimate | null;
let end = new AbortController();

function newStore() {
  const clock = new ManualClock();
  return new MemoryStore({clock, sleep: () => Promise.resolve()});
}

function newService(
  {bus, membership}: FakeNode,
  store = newStore(),
): MovesService {
  const service = new MovesService({
    bus,
    membership,
    store,
    clock: new ManualClock(),
    random: seededRandom(testSeed()),
    invariants: new Invariants(true),
    signal: end.signal,
    isRelay: () => false,
  });
  service.start();
  return service;
}

function evidence(calls: number, latencyMs = 1): Evidence {
  const bins = new Array<number>(latencyBinCount).fill(0);
  bins[latencyBin(latencyMs)] = calls;
  const from = {calls, failures: 0, bins};
  const to = {calls: 0, failures: 0, bins: []};
  const cells = [{route: 'r', level: 0, from, to}];
  return {moveId: 'm1', step: 3, cells, crashes: [], cleared: []};
}

After({tags: '@moves'}, () => {
  end.abort();
  end = new AbortController();
});

Given(
  'a moves mesh of {int} nodes in data centre {string} and {int} in {string}',
  (inA: number, a: string, inB: number, b: string) => {
    mesh = new FakeMesh();
    for (let i = 0; i < inA; i++) mesh.add(`${a}${i}`, a, i < 2);
    for (let i = 0; i < inB; i++) mesh.add(`${b}${i}`, b, i < 2);
    // One signal ends the timers of all nodes.
    setMaxListeners(0, end.signal);
    services = mesh.nodes.map(node => newService(node));
    for (const service of services) service.onApplied(snapshot);
    for (const service of services) service.onRecords([record]);
  },
);

When('a node of the moves mesh takes the move back', () => {
  assert.ok(services[5]!.takeBack('m1', 'ana').isOk);
  while (mesh.deliver() > 0);
});

Then('each node of the moves mesh has the stop', () => {
  for (const {gate} of services) assert.equal(gate.stops().length, 1);
});

Then('no node of the moves mesh got the stop from more than one peer', () => {
  const receivers = mesh.delivered.map(n => n.to);
  assert.equal(new Set(receivers).size, receivers.length);
});

Given('moves evidence senders with 2 relays in each of 3 data centres', () => {
  mesh = new FakeMesh();
  for (const dataCentre of ['a', 'b', 'c']) {
    for (let i = 0; i < 10; i++) {
      mesh.add(`${dataCentre}${i}`, dataCentre, i < 2);
    }
  }
  arrived = 0;
  controllerAt = mesh.nodes.findIndex(n => n.record.nodeId === 'b1');
  const onArrived = (parts: readonly Evidence[]) => {
    for (const {cells} of parts) arrived += cells[0]!.from.calls;
  };
  senders = mesh.nodes.map(({bus, membership}, i) => {
    const sender = new EvidenceSender({bus, membership, onArrived});
    bus.onNotice(MOVE_KINDS.evidence, body => {
      sender.receive(body, i === controllerAt);
    });
    bus.onNotice(MOVE_KINDS.rootEvidence, body => {
      sender.receiveFromRoot(body, i === controllerAt);
    });
    return sender;
  });
});

Given('no moves evidence sender is the controller', () => {
  controllerAt = -1;
});

When(
  'each moves evidence sender adds {int} calls and all flush for {int} s',
  (calls: number, seconds: number) => {
    for (const sender of senders) sender.add([evidence(calls)]);
    for (let second = 0; second < seconds; second++) {
      senders.forEach((s, i) => s.flush(i === controllerAt, second * 1_000));
      mesh.deliver();
    }
  },
);

Then(
  '{int} calls have arrived at the moves controller node',
  (calls: number) => {
    assert.equal(arrived, calls);
  },
);

Then('no moves evidence is in transit', () => {
  senders.forEach((s, i) => s.flush(i === controllerAt, 9_000));
  assert.equal(mesh.deliver(), 0);
});

When('a new node joins the moves mesh', async () => {
  services.push(newService(mesh.add('fresh', 'a')));
  services.at(-1)!.onApplied(snapshot);
  assert.equal(services.at(-1)!.synced, false);
  await new Promise(setImmediate);
});

When('a new node joins a moves mesh that does not respond', async () => {
  const silent = new FakeMesh();
  silent.add('a0', 'a');
  const store = newStore();
  store.setDown(true);
  services.push(newService(silent.add('fresh', 'a'), store));
  services.at(-1)!.onApplied(snapshot);
  await new Promise(setImmediate);
});

Then('the new moves node has the record before it serves', () => {
  assert.equal(services.at(-1)!.synced, true);
  assert.deepEqual(services.at(-1)!.gate.records(), [record]);
});

When(
  'a new node without peers finds the moves records in the store',
  async () => {
    const store = newStore();
    const former = {...record, moveId: 'm0', from: 'v0', to: 'v1'};
    for (const row of [record, former]) {
      const key = moveKey('trial', row.moveId);
      const puts = [{key, value: encodeRecord(row)}];
      assert.ok((await store.txn({compares: [], puts})).isOk);
    }
    services.push(newService(new FakeMesh().add('fresh', 'a'), store));
    services.at(-1)!.onApplied(snapshot);
    await new Promise(setImmediate);
  },
);

Then('the new moves node does not serve yet', () => {
  assert.equal(services.at(-1)!.synced, false);
});

When(
  'a moves controller driver gets {int}, {int} and {int} calls\\/s of {int} ms from three nodes',
  async (a: number, b: number, c: number, latencyMs: number) => {
    const clock = new ManualClock();
    const driver = new ControllerDriver({
      store: newStore(),
      clock: {now: () => now, wallTime: () => clock.wallTime()},
      environment: 'trial',
      nodeId: 'n1',
      isRelay: () => true,
      capacityShare: (_plan, known) => {
        load = known;
        return 1;
      },
      onOutput: () => undefined,
    });
    let now = 0;
    driver.onDocument(document);
    for (; now < 30_000; now += 1_000) {
      driver.addEvidence([a, b, c].map(calls => evidence(calls, latencyMs)));
      await driver.tick(now);
    }
    await driver.close();
  },
);

Then(
  'the moves capacity share of {int} ready slots is {float}',
  (newSlots: number, share: number) => {
    const planned = capacityShare({oldSlots: 24, newSlots, load});
    const error = Math.abs(planned / share - 1);
    // A latency bin is 70% wide, so its middle is up to 35% off.
    assert.ok(error < 0.35, `${String(planned)}, ${JSON.stringify(load)}`);
  },
);
