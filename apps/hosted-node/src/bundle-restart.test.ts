import assert from 'node:assert/strict';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {After, Given, Then} from '@cucumber/cucumber';
import {
  bootText,
  configKey,
  configText,
  KvStandin,
  ServerStandin,
  testPorts,
  waitUntil,
} from '@verbenabeam/platform/fakes';
import type {TestPorts} from '@verbenabeam/platform/fakes';
import {
  runProcess,
  startProcess,
  stopProcess,
} from '../../../scripts/lib/environment.mjs';
import type {Started} from '../../../scripts/lib/environment.mjs';
import {askNode} from './test/ask-node.js';

const service = 'shop';
const ageMs = 60_000;
/** Longer than the time limit of the step, so that the first one decides. */
const heartbeatMs = 5_000;
const stepTimeoutMs = 30_000;

let store: KvStandin | null = null;
let server: ServerStandin | null = null;
let started: Started | null = null;
let ports: TestPorts | null = null;
let folder: string | null = null;

After({tags: '@hosted', timeout: stepTimeoutMs}, async () => {
  if (started) await stopProcess(started);
  server?.stop();
  store?.stop();
  if (folder !== null) rmSync(folder, {recursive: true});
  started = server = store = folder = null;
});

Given(
  'the bundle runs as it is deployed beside a server that has run for a minute',
  {timeout: stepTimeoutMs},
  async () => {
    const bundled = await runProcess(['scripts/bundle.mjs']);
    assert.equal(bundled.status, 0, bundled.err);
    store = new KvStandin();
    await store.start();
    const rules = [{prefix: '/', service}];
    store.put(configKey, configText(1, rules, [service]));
    server = new ServerStandin('i-1', service);
    server.bornAt = Date.now() - ageMs;
    await server.start();
    ports = await testPorts();
    folder = mkdtempSync(path.join(tmpdir(), 'verbenabeam-'));
    const file = path.join(folder, 'boot.toml');
    writeFileSync(file, bootText('node-1', server, ports, store.address));
    started = await startProcess(['target/verbenabeam.mjs', '--config', file]);
  },
);

Then(
  'within {int} ms after a configuration a request is answered by that server',
  {timeout: stepTimeoutMs},
  async (withinMs: number) => {
    const {callers, control} = ports!;
    // The node knows its configuration once it refuses for want of an instance.
    await waitUntil(() => store!.calls.has('GET /kv-range'), 5_000, 'read');
    server!.beatTo(control, heartbeatMs);
    const isAnswered = async () => (await askNode(callers, 'q')) === 200;
    await waitUntil(isAnswered, withinMs, 'answered');
    assert.equal(server!.runs.length, 1);
  },
);
