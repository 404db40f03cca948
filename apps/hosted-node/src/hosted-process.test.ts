import assert from 'node:assert/strict';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {
  runProcess,
  startProcess,
  stopProcess,
} from '../../../scripts/lib/environment.mjs';
import type {Ended, Started} from '../../../scripts/lib/environment.mjs';

const program = 'apps/hosted-node/dist/main.js';
const example = 'deploy/example-boot.toml';
const readyUrl = 'http://127.0.0.1:18625/ready';
const reloadMs = 3_000;
const stepTimeoutMs = 20_000;

let ended: Ended;
let started: Started | null = null;
let folder: string | null = null;
let file = '';
let log = '';

After({tags: '@hosted', timeout: stepTimeoutMs}, async () => {
  if (started) await stopProcess(started);
  started = null;
  if (folder !== null) rmSync(folder, {recursive: true});
  folder = null;
});

When('the hosted node runs with {string}', async (option: string) => {
  ended = await runProcess([program, '--config', example, option]);
});

When(
  'the hosted node runs with {string} and a broken settings file',
  async (option: string) => {
    copySettings();
    breakFile();
    ended = await runProcess([program, '--config', file, option]);
  },
);

Then(
  'the hosted node ends with {int} and prints {string}',
  (status: number, text: string) => {
    assert.equal(ended.status, status, ended.err);
    assert.ok(ended.out.includes(text), ended.out);
  },
);

Then(
  'the hosted node ends with {int} and reports {string}',
  (status: number, text: string) => {
    assert.equal(ended.status, status);
    assert.ok(ended.err.includes(text), ended.err);
  },
);

function copySettings(): void {
  folder = mkdtempSync(path.join(tmpdir(), 'verbenabeam-'));
  file = path.join(folder, 'boot.toml');
  writeFileSync(file, readFileSync(example));
}

function breakFile(): void {
  const text = readFileSync(example, 'utf8');
  writeFileSync(file, text.replace('node_id = "instance-1"', 'node_id = 7'));
}

Given('a running hosted node process', async () => {
  copySettings();
  log = '';
  started = await startProcess([program, '--config', file]);
  const {child} = started;
  child.stdout?.on('data', (piece: Buffer) => {
    log += String(piece);
  });
});

When('its settings file breaks and it gets SIGHUP', async () => {
  breakFile();
  started?.child.kill('SIGHUP');
  await sleep(reloadMs);
});

When('its settings file is mended without a signal', async () => {
  writeFileSync(file, readFileSync(example));
  await sleep(reloadMs);
});

Then('its log says {string} and {string}', (first: string, second: string) => {
  assert.ok(log.includes(first), log);
  assert.ok(log.includes(second), log);
});

Then('it still answers that it is not ready', async () => {
  const res = await fetch(readyUrl);
  assert.equal(res.status, 503);
});

Then(
  'the hosted node process ends by itself after SIGTERM',
  {timeout: stepTimeoutMs},
  async () => {
    assert.ok(started);
    assert.equal(await stopProcess(started), true);
    assert.equal(started.child.exitCode, 0);
  },
);
