import assert from 'node:assert/strict';
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {After, Given, Then} from '@cucumber/cucumber';
import type {DataTable} from '@cucumber/cucumber';
import {Result} from 'true-myth';
import {request} from 'undici';
import {errorBodySchema, versionMetaSchema} from '@verbenabeam/admin-api';
import type {AdminContext} from './admin-context.js';
import {AdminServer} from './admin-server.js';
import {documentRoutes} from './document-routes.js';
import {statusRoutes} from './status-routes.js';

const operatorToken = 'operator-token';
const oversizedBytes = 4_000_001;
const metadata = {
  version: 8,
  hash: 'h8',
  operationId: 'op8',
  author: 'ana',
  acceptedAt: 1_800_000_000_000,
  promotedFrom: null,
};

interface Sent {
  readonly token: string | null;
  readonly body: string;
}

/**
 * Values of valid bodies, so that only the fault of a case causes the refusal.
 */
const fields = {
  document: 'x',
  from: 'trial',
  version: 1,
  author: 'ana',
};
const routeFields: Readonly<Record<string, readonly string[]>> = {
  submit: ['document', 'author'],
  promote: ['from', 'version', 'author'],
  reassert: ['author'],
  check: ['document'],
  'take-back': ['author'],
  'confirm-restore': ['author'],
};

function bodyOf(path: string, extra = {}): string {
  const names = routeFields[path.split('/').at(-1) ?? ''] ?? [];
  const own = Object.entries(fields).filter(([name]) => names.includes(name));
  return JSON.stringify({...Object.fromEntries(own), ...extra});
}

const cases: Readonly<Record<string, (path: string) => Partial<Sent>>> = {
  'missing token': () => ({token: null}),
  'wrong token': () => ({token: 'operator-toke'}),
  'unknown path': () => ({}),
  'unknown method': () => ({}),
  'oversized body': () => ({body: JSON.stringify('x'.repeat(oversizedBytes))}),
  'not JSON': () => ({body: '{"author": "ana"'}),
  'unknown field': path => ({body: bodyOf(path, {force: true})}),
  'no author': () => ({body: '{}'}),
  'long author': path => ({body: bodyOf(path, {author: 'a'.repeat(201)})}),
  'other fleet': () => ({}),
};

let server: AdminServer | null = null;
let called: unknown[][];

Given(
  'an admin server for the environment {string}',
  async (environment: string) => {
    called = [];
    const active = {environment, version: 7};
    const recordCall = (...args: unknown[]) => {
      called.push(args);
      return Promise.resolve(Result.ok({metadata, changes: []}));
    };
    const distribution = {
      current: () => active,
      submit: recordCall,
      promote: recordCall,
      reassert: recordCall,
    };
    const moves = {takeBack: recordCall};
    const claims = {confirmRestore: recordCall};
    const ctx = {distribution, moves, claims} as unknown as AdminContext;
    const routes = [...documentRoutes(ctx), ...statusRoutes(ctx)];
    server = new AdminServer({routes, operatorToken});
    server.server.listen(0, '127.0.0.1');
    await once(server.server, 'listening');
  },
);

After({tags: '@admin'}, () => {
  server?.server.close();
  server = null;
});

async function send(method: string, path: string, sent: Partial<Sent>) {
  const {port} = server!.server.address() as AddressInfo;
  const {token, body} = {token: operatorToken, body: bodyOf(path), ...sent};
  const headers = token === null ? {} : {authorization: `Bearer ${token}`};
  const res = await request(`http://127.0.0.1:${String(port)}${path}`, {
    method: method as 'POST',
    headers: {...headers, connection: 'close'},
    body,
  });
  return {status: res.statusCode, body: await res.body.json()};
}

Then(
  'the admin server refuses each of these requests:',
  async (table: DataTable) => {
    for (const row of table.hashes()) {
      const {method = '', path = ''} = row;
      const name = row['case'] ?? '';
      const fault = cases[name];
      assert.ok(fault, `no request for the case "${name}"`);
      const res = await send(method, path, fault(path));
      const {code} = errorBodySchema.parse(res.body);
      const seen = [name, path, res.status, code];
      const expected = [name, path, Number(row['status']), Number(row['code'])];
      assert.deepEqual(seen, expected);
    }
  },
);

Then('the admin server has called no handler', () => {
  assert.deepEqual(called, []);
});

Then(
  'the admin server reasserts the active version for its author',
  async () => {
    const path = '/v1/environments/production/reassert';
    const res = await send('POST', path, {});
    assert.equal(res.status, 200);
    assert.equal(versionMetaSchema.parse(res.body).version, metadata.version);
    const [active, operator] = called[0] as [
      {version: number},
      {author: string; operationId: string},
    ];
    assert.equal(active.version, 7);
    assert.equal(operator.author, 'ana');
    assert.ok(operator.operationId.length > 0);
  },
);
