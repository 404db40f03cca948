import assert from 'node:assert/strict';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {Result} from 'true-myth';
import {
  CALL_CODES,
  CLAIM_CODES,
  Invariants,
  MeshError,
  systemClock,
} from '@verbenabeam/core';
import type {Service, Snapshot} from '@verbenabeam/document';
import {TrafficSplitter} from '@verbenabeam/moves';
import type {MoveRecord} from '@verbenabeam/moves';
import {VersionAdapter} from '../entry/version-adapter.js';
import type {MembershipService} from '../membership/membership-service.js';
import type {MovesService} from '../moves/moves-service.js';
import {Admission} from '@verbenabeam/routing';
import {AdmissionAdapter} from '../serving/admission-adapter.js';
import {StoppedVersionsAdapter} from '../serving/stopped-versions-adapter.js';
import {CALL_HEADERS} from './call-headers.js';
import type {ClaimDecision} from './entry-ports.js';
import {TestClient, waitUntil} from './test/test-client.js';
import type {TestResponse} from './test/test-client.js';
import {requestSlot} from './test/request-slot.js';
import {TestNode} from './test/test-node.js';

/** State of a scenario. */
let client = new TestClient();
let nodes: TestNode[] = [];
let broken: string[] = [];
let answer: TestResponse;
let first: Promise<TestResponse>;
let gate: TrafficSplitter;
let admission: AdmissionAdapter;

const keyed = {[CALL_HEADERS.idempotencyKey]: 'k'};
const payload = Buffer.from('payload');

async function startNodes(slots = 1000, queueLimit = 0): Promise<void> {
  client = new TestClient();
  broken = [];
  nodes = ['w1', 'w2'].map(id => new TestNode(id, broken));
  for (const node of nodes) {
    await node.start({slots: 500});
    Object.assign(node.admission, {slots, queueLimit});
  }
  nodes[0]!.sendTo(nodes[1]!, nodes[0]!);
  nodes[1]!.sendTo(nodes[1]!);
}

/** Fills the slot of node 2 and queues a second call there. */
async function queueAtNode2(
  signal?: AbortSignal,
): Promise<{ended: Promise<unknown>}> {
  const [entry, serving] = nodes as [TestNode, TestNode];
  const {targets} = entry.instances;
  entry.sendTo(serving);
  first = client.call(entry, '/read?ms=300');
  await waitUntil(() => serving.admission.load().inFlight === 1);
  const ended = signal
    ? fetch(`${entry.url}/read`, {signal}).catch(() => null)
    : client.call(entry, '/read').then(a => (answer = a));
  await waitUntil(() => serving.admission.load().queued === 1);
  entry.instances.targets = targets;
  return {ended};
}

function attempts() {
  return nodes[0]!.log.latest(1)[0]!.attempts;
}

function runs(): number {
  return nodes.reduce((sum, n) => sum + n.upstream!.runs.total, 0);
}

After({tags: '@calls'}, async () => {
  await Promise.all(nodes.map(n => n.stop()));
  await client.close();
  nodes = [];
  assert.deepEqual(broken, []);
});

Given('2 call-flow nodes', () => startNodes());

Given('2 call-flow nodes with 1 slot and a queue of 1', () => startNodes(1, 1));

Given('2 call-flow nodes with shared claims', async () => {
  await startNodes();
  nodes[1]!.claims = nodes[0]!.claims;
});

When(
  'a call-flow request is sent to a version without instances and then to {string}',
  async (version: string) => {
    nodes[0]!.versions.next = ['v2', version];
    answer = await client.call(nodes[0]!, '/write', {}, payload);
  },
);

Then(
  'the call-flow request succeeds after attempts at {string}',
  (versions: string) => {
    assert.equal(answer.code, 1600);
    assert.equal(
      attempts()
        .map(a => a.version)
        .join(', '),
      versions,
    );
    assert.equal(nodes[0]!.versions.sent.size, versions.split(', ').length);
  },
);

When(
  'a call-flow request queues at node 2 and the move to its version is stopped',
  async () => {
    // The call queues at node 2, and its retry goes to node 1.
    const {ended} = await queueAtNode2();
    nodes[1]!.versions.stopped = ['v1'];
    await Promise.all([first, ended]);
  },
);

Then(
  'the call-flow request succeeds after attempts with codes {string}',
  (codes: string) => {
    assert.equal(answer.code, 1600);
    assert.equal(
      attempts()
        .map(a => a.code)
        .join(', '),
      codes,
    );
  },
);

Then('call-flow node 2 ran {int} call', async (count: number) => {
  await first;
  assert.equal(nodes[1]!.upstream!.runs.total, count);
});

When(
  'a move to {string} is stopped while a call-flow request waits for its claim',
  async (version: string) => {
    const {claims, versions} = nodes[0]!;
    claims.delayMs = 100;
    versions.next = [version];
    const running = client.call(nodes[0]!, '/keyed', keyed, payload);
    setTimeout(() => (versions.next = ['v1']), 30);
    answer = await running;
  },
);

const move: MoveRecord = {
  moveId: 'm',
  service: 'files',
  from: 'v1',
  to: 'v2',
  step: 1,
  share: 1,
  reached: 1,
  state: 'running',
  reason: '',
  deadline: Number.MAX_SAFE_INTEGER,
  decidedBy: 'n',
  operationId: 'o',
  changedAt: 1,
};

function choose(exclude: string[]): string {
  const moves = {gate} as MovesService;
  const members = {
    candidates: (_service: string, version: string) =>
      version === 'v2' ? [{nodeId: 'new'}] : [{nodeId: 'old'}],
  } as unknown as MembershipService;
  const snapshot = {document: {moves: []}} as unknown as Snapshot;
  const service: Service = {name: 'files', versions: [], current: 'v1'};
  const adapter = new VersionAdapter(moves, members);
  const tried = new Set(exclude);
  const {version} = adapter.choose(snapshot, service, 'id', tried);
  adapter.onSent('files', version);
  return version;
}

Given('a call-flow move gate with a move at full share', () => {
  const invariants = new Invariants(true);
  gate = new TrafficSplitter({
    nodeId: 'n',
    invariants,
    analyzerOptions: () => null,
  });
  gate.mergeRecord(move);
});

Then(
  'the call-flow move gate chooses the new version if it has an instance and the old one otherwise',
  () => {
    assert.equal(choose([]), 'v2');
    assert.equal(choose(['new']), 'v1');
    assert.ok(!new StoppedVersionsAdapter(gate).isStopped('files', 'v2'));
  },
);

Then(
  'after a stop the call-flow move gate chooses the old version and refuses the new one',
  () => {
    const stop = {step: 1, reason: '', decidedBy: 'n', decidedAt: 1};
    gate.mergeStops([{moveId: 'm', ...stop}]);
    assert.equal(choose([]), 'v1');
    const stopped = new StoppedVersionsAdapter(gate);
    assert.ok(stopped.isStopped('files', 'v2'));
    assert.ok(!stopped.isStopped('files', 'v1'));
    // The invariant check finds calls that are sent despite the stop.
    assert.throws(() => {
      gate.onSent('files', 'v2');
    });
    gate.mergeRecord({...move, step: 2, state: 'takenBack', changedAt: 2});
    assert.ok(stopped.isStopped('files', 'v2'));
    gate.mergeRecord({...move, moveId: 'm2', changedAt: 3});
    assert.ok(!stopped.isStopped('files', 'v2'));
  },
);

const stored = {status: 201, headers: [], body: Buffer.from('first')};
const decisions: Record<string, Result<ClaimDecision, MeshError>> = {
  granted: Result.ok({kind: 'granted'}),
  inProgress: Result.ok({kind: 'inProgress'}),
  kept: Result.ok({kind: 'finished', answer: stored}),
  notKept: Result.ok({kind: 'finished', answer: {...stored, body: null}}),
  unknown: Result.ok({kind: 'unknown'}),
  unavailable: Result.err(new MeshError(CLAIM_CODES.unavailable, 'down')),
};

When('the claim of a call-flow request is {string}', async (name: string) => {
  nodes[0]!.claims.forced = decisions[name]!;
  answer = await client.call(nodes[0]!, '/keyed', keyed, payload);
  if (name === 'kept') assert.equal(answer.body.toString(), 'first');
});

Then(
  'the call-flow request ends with status {int} and code {int} and ran {int} times',
  (status: number, code: number, times: number) => {
    assert.deepEqual([answer.status, answer.code], [status, code]);
    assert.equal(runs(), times);
  },
);

When('a call-flow claim is granted after its deadline', async () => {
  const {claims} = nodes[0]!;
  claims.delayMs = 100;
  const headers = {...keyed, [CALL_HEADERS.deadlineMs]: '30'};
  answer = await client.call(nodes[0]!, '/keyed', headers, payload);
  assert.equal(answer.notRun, true);
});

Then('the call-flow claim was released as not run', async () => {
  const {results} = nodes[0]!.claims;
  await waitUntil(() => results.get('k')?.kind === 'notRun');
});

Then('the call-flow request runs when it is repeated', async () => {
  const again = await client.call(nodes[0]!, '/keyed', keyed, payload);
  assert.deepEqual([again.code, runs()], [1600, 1]);
});

When(
  'a call-flow request with a key is sent to node 1 and then to node 2',
  async () => {
    answer = await client.call(nodes[0]!, '/keyed', keyed, payload);
  },
);

Then('both call-flow responses are the same and the key ran once', async () => {
  const body = Buffer.from('other');
  const again = await client.call(nodes[1]!, '/keyed', keyed, body);
  assert.deepEqual([answer.status, again.status], [200, 200]);
  assert.deepEqual(again.body, answer.body);
  assert.equal(runs(), 1);
});

When(
  'the quarantine of both call-flow nodes refuses with {int}',
  async (code: number) => {
    const found = Object.values(CALL_CODES).find(c => c.code === code)!;
    for (const {quarantine} of nodes) {
      quarantine.refusal = new MeshError(found, found.text);
    }
    answer = await client.call(nodes[0]!, '/write', {}, payload);
    assert.equal(answer.notRun, true);
  },
);

Then('the call-flow request made {int} attempts', (count: number) => {
  assert.equal(attempts().length, count);
});

When('a call-flow request queues at node 2 and its caller aborts', async () => {
  const caller = new AbortController();
  const {ended} = await queueAtNode2(caller.signal);
  caller.abort();
  await ended;
});

Then(
  'the queue of call-flow node 2 is empty before the running call ends',
  async () => {
    await waitUntil(() => nodes[1]!.admission.load().queued === 0, 200);
    assert.equal(nodes[1]!.admission.load().inFlight, 1);
  },
);

Given('a call-flow admission with 1 slot', () => {
  const policy = new Admission({maxWaitMs: 1000, slots: 1});
  admission = new AdmissionAdapter({clock: systemClock, admission: policy});
});

When('queued call-flow calls are cancelled before and after the grant', () => {
  const running = requestSlot(admission, 'a');
  const early = requestSlot(admission, 'b');
  const late = requestSlot(admission, 'c');
  assert.equal(running.kind, 'admitted');
  assert.equal(early.kind, 'queued');
  assert.equal(late.kind, 'queued');
  if (early.kind === 'queued') early.cancel();
  if (running.kind === 'admitted') running.ticket.release(1);
  assert.equal(admission.load().inFlight, 1);
  if (late.kind === 'queued') late.cancel();
});

Then('the call-flow admission is empty and admits the next call', () => {
  const {inFlight, queued} = admission.load();
  assert.deepEqual([inFlight, queued], [0, 0]);
  const next = requestSlot(admission, 'd');
  assert.equal(next.kind, 'admitted');
  if (next.kind === 'admitted') next.ticket.release(1);
});
