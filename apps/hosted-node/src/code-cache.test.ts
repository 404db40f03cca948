import assert from 'node:assert/strict';
import {readFileSync, truncateSync, writeFileSync} from 'node:fs';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {
  runProcess,
  startProcess,
  stopProcess,
} from '../../../scripts/lib/environment.mjs';
import type {Started} from '../../../scripts/lib/environment.mjs';
import {deployedCommand} from './test/deployed-command.js';

const bundle = 'target/verbenabeam.bundle.js';
const cache = 'target/verbenabeam.bundle.cache';
const shortBytes = 100_000;
const stepTimeoutMs = 40_000;
const settings = ['--config', 'deploy/example-boot.toml'];
let started: Started | null = null;
/** The cache before it was cut short. */
let whole: Buffer | null = null;

After({tags: '@hosted', timeout: stepTimeoutMs}, async () => {
  if (started) await stopProcess(started);
  started = null;
  if (whole) writeFileSync(cache, whole);
  whole = null;
});

Given('the bundle of the hosted node', {timeout: stepTimeoutMs}, async () => {
  const {status, err} = await runProcess(['scripts/bundle.mjs']);
  assert.equal(status, 0, err);
});

Given('its code cache is cut short', () => {
  whole = readFileSync(cache);
  truncateSync(cache, shortBytes);
});

When(
  'the bundle starts as it is deployed',
  {timeout: stepTimeoutMs},
  async () => {
    started = await startProcess([...deployedCommand(), ...settings]);
  },
);

Then('it says that its code cache is {string}', (state: string) => {
  assert.equal(started?.info['codeCache'], state);
});

Then('the bundle has no helper that names functions as they are made', () => {
  const source = readFileSync(bundle, 'utf8');
  assert.doesNotMatch(source, /"name",\s*\{value:\s*\w+,\s*configurable/);
});
