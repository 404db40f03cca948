import assert from 'node:assert/strict';
import {once} from 'node:events';
import http from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {request} from 'undici';
import {CALL_HEADERS} from './call-headers.js';
import {drainCalls} from './drain-calls.js';
import {TestClient, waitUntil} from './test/test-client.js';
import type {TestResponse} from './test/test-client.js';
import {TestNode} from './test/test-node.js';

/** State of the current scenario. */
let client = new TestClient();
let nodes: TestNode[] = [];
let servers: http.Server[] = [];
let broken: string[] = [];
let depth = 0;
let reached = 0;
/** Calls that the deepest service still refuses. */
let refusalsLeft = 0;
let subCallAllowed: Promise<void>;
/** Calls that upstreams run and that have not made their sub-call yet. */
let pendingSubCalls = 0;
let results: {answer: TestResponse; reached: number; left: string}[] = [];
let running: Promise<TestResponse>;
let drained: Promise<void>;

/** Starts an upstream that calls the same path again through its own node. */
async function startChainUpstream(node: TestNode): Promise<void> {
  const server = http.createServer((req, res) => {
    if (Number(req.headers[CALL_HEADERS.depth]) < depth) {
      void makeSubCall(node, req, res);
      return;
    }
    reached++;
    if (refusalsLeft-- > 0) res.writeHead(503, {[CALL_HEADERS.notRun]: 'true'});
    res.end();
  });
  servers.push(server);
  await once(server.listen(0, '127.0.0.1'), 'listening');
  const {port} = server.address() as AddressInfo;
  const own = node.ownUpstream.own!;
  node.ownUpstream.own = {...own, address: `127.0.0.1:${port}`};
}

async function makeSubCall(
  node: TestNode,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  pendingSubCalls++;
  await subCallAllowed;
  pendingSubCalls--;
  const names = Object.keys(req.headers).filter(n => n.startsWith('vb-'));
  const headers = Object.fromEntries(names.map(n => [n, req.headers[n]]));
  const sub = await request(node.url + req.url!, {
    headers,
    dispatcher: client.agent,
  });
  await sub.body.dump();
  const notRun = sub.headers[CALL_HEADERS.notRun];
  res.writeHead(sub.statusCode, notRun ? {[CALL_HEADERS.notRun]: notRun} : {});
  res.end();
}

async function callOnce(): Promise<void> {
  reached = 0;
  const res = await client.send(nodes[0]!, '/read');
  await res.body.dump();
  const code = Number(res.headers[CALL_HEADERS.result]);
  const notRun = res.headers[CALL_HEADERS.notRun] === 'true';
  const answer = {status: res.statusCode, code, notRun} as TestResponse;
  const left = String(res.headers[CALL_HEADERS.retriesLeft]);
  results.push({answer, reached, left});
}

After({tags: '@calls'}, async () => {
  await Promise.all(nodes.map(n => n.stop()));
  for (const server of servers) {
    server.close();
    server.closeAllConnections();
  }
  await client.close();
  nodes = [];
  servers = [];
  assert.deepEqual(broken, []);
});

Given(
  '{int} nodes whose upstreams make sub-calls until depth {int}',
  async (count: number, levels: number) => {
    client = new TestClient();
    broken = [];
    results = [];
    depth = levels;
    refusalsLeft = 0;
    subCallAllowed = Promise.resolve();
    const ids = Array.from({length: count}, (_, i) => `level${i}`);
    nodes = ids.map(id => new TestNode(id, broken));
    for (const node of nodes) {
      await node.start({});
      await startChainUpstream(node);
    }
    for (const node of nodes) node.sendTo(...nodes);
  },
);

When(
  '{int} call chains start and the deepest service refuses each call and reports it as not run',
  async (count: number) => {
    refusalsLeft = Infinity;
    for (let i = 0; i < count; i++) await callOnce();
  },
);

Then(
  'each call chain reached the deepest service at most {int} times',
  (most: number) => {
    const counts = results.map(r => r.reached);
    assert.ok(
      counts.every(n => n >= 1 && n <= most),
      `reached ${counts.join(', ')} times`,
    );
  },
);

Then(
  'each call chain was refused, reported as not run, with 0 retries left',
  () => {
    for (const {answer, left} of results) {
      assert.deepEqual([answer.code, answer.notRun, left], [1613, true, '0']);
    }
  },
);

When(
  'a call chain starts and the deepest service refuses the call {int} time',
  async (times: number) => {
    refusalsLeft = times;
    await callOnce();
  },
);

Then('the call chain succeeds and reports {int} retry left', (left: number) => {
  const [result] = results;
  assert.deepEqual([result!.answer.code, result!.left], [1600, `${left}`]);
});

When('node 1 drains before its upstream makes a sub-call', async () => {
  const [first, second] = nodes as [TestNode, TestNode];
  let release: () => void = () => undefined;
  subCallAllowed = new Promise(resolve => (release = resolve));
  first.sendTo(first);
  // The call has no retries, so a retry at another node cannot hide a refusal.
  running = client.call(first, '/read', {[CALL_HEADERS.retriesLeft]: '0'});
  await waitUntil(() => pendingSubCalls === 1);
  first.sendTo(second);
  drained = drainCalls(first.entry, first.serving);
  setTimeout(release, 50);
});

Then(
  'a new call to node 1 is refused with {int} and reported as not run',
  async (code: number) => {
    const answer = await client.call(nodes[0]!, '/read');
    assert.deepEqual([answer.code, answer.notRun], [code, true]);
  },
);

Then('the call chain in flight at node 1 succeeds', async () => {
  const {status, code} = await running;
  assert.deepEqual([status, code], [200, 1600]);
});

Then('node 1 of the call chain has drained', async () => {
  await drained;
  const {entry, serving} = nodes[0]!;
  assert.deepEqual([entry.inFlight, serving.inFlight], [0, 0]);
  entry.checkDrained();
});
