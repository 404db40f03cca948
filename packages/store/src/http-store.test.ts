import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import type {RequestListener, Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {After, Given, Then} from '@cucumber/cucumber';
import {STORE_CODES} from '@verbenabeam/core';
import {HttpStore} from './http-store.js';

interface Gateway {
  readonly url: string;
  readonly server: Server;
  calls: number;
}

let gateways: Gateway[] = [];
let stores: HttpStore[] = [];
const key = '/verbenabeam/test';
const txn = {compares: [], puts: [{key, value: Buffer.from('v')}]};

async function startGateway(listener: RequestListener): Promise<Gateway> {
  const server = createServer((req, res) => {
    gateway.calls += 1;
    listener(req, res);
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  const gateway = {url: `http://127.0.0.1:${String(port)}`, server, calls: 0};
  gateways.push(gateway);
  return gateway;
}

const responds: RequestListener = (req, res) => {
  const body = req.url?.endsWith('/range')
    ? {header: {revision: '7'}, kvs: [{key: 'aw==', mod_revision: '7'}]}
    : {header: {revision: '8'}, succeeded: true};
  res.end(JSON.stringify(body));
};

function connect(endpoints: string[]): HttpStore {
  const store = new HttpStore({endpoints, timeoutMs: 200});
  stores.push(store);
  return store;
}

After({tags: '@store'}, async () => {
  await Promise.all(stores.map(s => s.close()));
  for (const {server} of gateways) {
    server.closeAllConnections();
    server.close();
  }
  stores = [];
  gateways = [];
});

Given(
  'a store gateway that drops every request and one that responds',
  async () => {
    await startGateway(req => req.socket.destroy());
    await startGateway(responds);
  },
);

Then('the http store reads a key from the second store gateway', async () => {
  const read = await connect(gateways.map(g => g.url)).get(key);
  assert.equal(read.unwrapOr(null)?.revision, 7);
});

Then(
  'an http store write to the dropping store gateway is unknown and not sent again',
  async () => {
    const before = gateways.map(g => g.calls);
    const write = await connect(gateways.map(g => g.url)).txn(txn);
    assert.ok(write.isErr && write.error.code === STORE_CODES.unknownOutcome);
    const sent = gateways.map((g, i) => g.calls - before[i]!);
    assert.deepEqual(sent, [1, 0]);
  },
);

Then(
  'an http store write to a closed port is sent to the next store gateway',
  async () => {
    const closed = await startGateway(responds);
    await new Promise(resolve => closed.server.close(resolve));
    const write = await connect([closed.url, gateways[1]!.url]).txn(txn);
    assert.deepEqual(write.unwrapOr(null!), {committed: true, revision: 8});
  },
);

Given('a store gateway that never responds', async () => {
  await startGateway(() => undefined);
});

Then(
  'the http store read fails as unavailable within {int} ms',
  async (ms: number) => {
    const startedAt = performance.now();
    const read = await connect([gateways[0]!.url]).get(key);
    assert.ok(read.isErr && read.error.code === STORE_CODES.unavailable);
    assert.ok(performance.now() - startedAt < ms);
  },
);

Then('the http store write is unknown within {int} ms', async (ms: number) => {
  const startedAt = performance.now();
  const write = await connect([gateways[0]!.url]).txn(txn);
  assert.ok(write.isErr && write.error.code === STORE_CODES.unknownOutcome);
  assert.ok(performance.now() - startedAt < ms);
});

Then('the http store breaker opens and refuses without a call', async () => {
  const endpoints = [gateways[0]!.url];
  const breaker = {failureThreshold: 2, baseMs: 60_000, maxMs: 60_000};
  const store = new HttpStore({endpoints, timeoutMs: 50, breaker});
  stores.push(store);
  await store.get(key);
  await store.get(key);
  const before = gateways[0]!.calls;
  assert.equal(store.breakerState, 'open');
  assert.ok((await store.get(key)).isErr);
  assert.equal(gateways[0]!.calls, before);
});
