import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import type {RequestListener, Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {STORE_CODES} from '@verbenabeam/core';
import type {MeshError} from '@verbenabeam/core';
import type {Result} from 'true-myth';
import {EndlessServer} from './fakes/endless-server.js';
import {HttpStore} from './http-store.js';

interface Gateway {
  readonly url: string;
  readonly server: Server;
  calls: number;
}

let gateways: Gateway[] = [];
let stores: HttpStore[] = [];
let endless: EndlessServer | null = null;
let failedWith: MeshError | null = null;
let leftMs = 0;
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
  endless?.stop();
  endless = null;
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

/** Calls of the client to a gateway that may never end its answer. */
const calls: Readonly<
  Record<
    string,
    (
      store: HttpStore,
      signal: AbortSignal,
    ) => Promise<Result<unknown, MeshError>>
  >
> = {
  list: store => store.list(key),
  txn: store => store.txn(txn),
  watch: (store, signal) =>
    store.watch({key, fromRevision: 1, signal, onEvent: () => undefined}),
};

Given('a store gateway that answers without an end', async () => {
  endless = new EndlessServer();
  await endless.start();
});

When(
  /^the http store makes the call (\w+) within (\d+) ms$/,
  {timeout: 30_000},
  async (name: string, withinMs: string) => {
    const limitMs = Number(withinMs);
    const endpoints = [`http://${endless?.address ?? ''}`];
    const store = new HttpStore({endpoints, timeoutMs: limitMs});
    stores.push(store);
    const startAt = performance.now();
    // The stream of a watch has no time limit.
    const res = await calls[name]?.(store, AbortSignal.timeout(limitMs));
    leftMs = limitMs - (performance.now() - startAt);
    failedWith = res?.isErr ? res.error : null;
  },
);

Then(
  'the http store call fails with {int} before its time limit',
  (code: number) => {
    assert.equal(failedWith?.code.code, code);
    assert.ok(leftMs > 0, `${leftMs} ms left`);
  },
);

Then(
  'the endless store gateway has sent at most {int} bytes',
  (most: number) => {
    const bytes = endless?.bytes ?? 0;
    assert.ok(bytes > 0 && bytes <= most, `${bytes} bytes`);
  },
);

Given(
  'a store gateway whose watch line of {int} bytes comes in pieces of {int}',
  async (bytes: number, pieceBytes: number) => {
    await startGateway((_req, res) => {
      const created = {header: {revision: '7'}, created: true};
      res.write(`${JSON.stringify({result: created})}\n`);
      const kv = {key: 'aw==', value: 'A'.repeat(bytes), mod_revision: '8'};
      const result = {header: {revision: '8'}, events: [{kv}]};
      const line = `${JSON.stringify({result})}\n`;
      let sent = 0;
      // Each piece is written in a turn of its own, so that reads stay small.
      const sendPiece = () => {
        if (sent >= line.length || res.destroyed) return;
        res.write(line.slice(sent, sent + pieceBytes));
        sent += pieceBytes;
        setImmediate(sendPiece);
      };
      sendPiece();
    });
  },
);

Then(
  'the http store watch takes the line in less than {int} ms of processor time',
  {timeout: 60_000},
  async (most: number) => {
    const end = new AbortController();
    let valueBytes = 0;
    const before = process.cpuUsage();
    const endpoints = gateways.map(g => g.url);
    const store = new HttpStore({endpoints, timeoutMs: 30_000});
    stores.push(store);
    const watched = await store.watch({
      key,
      fromRevision: 8,
      signal: end.signal,
      onEvent: event => {
        if (event.type === 'put') valueBytes = event.entry.value.length;
        end.abort();
      },
    });
    const {user, system} = process.cpuUsage(before);
    if (watched.isErr) throw watched.error;
    assert.equal(valueBytes, 3_000_000);
    const usedMs = (user + system) / 1_000;
    assert.ok(usedMs < most, `${usedMs} ms`);
  },
);
