/**
 * Runs the cucumber suite, then prints one closing line "N passed, N failed".
 * Scenarios listed in KNOWN-RED.txt are printed and do not fail the run.
 *
 * Scenarios tagged `@long` run only with `VERBENABEAM_LONG=1`.
 *
 * Usage: node scripts/run-tests.mjs [cucumber arguments]
 */
import {spawnSync} from 'node:child_process';
import {existsSync, mkdirSync, readFileSync, rmSync} from 'node:fs';
import {readTestRun} from './lib/test-outcomes.mjs';

const messagesFile = 'tmp/cucumber.ndjson';
const knownRedFile = 'KNOWN-RED.txt';
const defaultSeed = '1';

function readKnownRed() {
  if (!existsSync(knownRedFile)) return new Set();
  const names = readFileSync(knownRedFile, 'utf8')
    .split('\n')
    .filter(line => line.startsWith('scenario: '))
    .map(line => line.slice('scenario: '.length).trim());
  return new Set(names);
}

mkdirSync('tmp', {recursive: true});
rmSync(messagesFile, {force: true});
const tags =
  process.env.VERBENABEAM_LONG === '1' ? [] : ['--tags', 'not @long'];
const run = spawnSync(
  process.execPath,
  [
    'node_modules/@cucumber/cucumber/bin/cucumber.js',
    ...process.argv.slice(2),
    ...tags,
  ],
  {
    stdio: 'inherit',
    env: {
      VERBENABEAM_SEED: defaultSeed,
      VERBENABEAM_STRICT: '1',
      ...process.env,
    },
  },
);
if (!existsSync(messagesFile)) process.exit(run.status ?? 1);
const lines = readFileSync(messagesFile, 'utf8').split('\n').filter(Boolean);
const {outcomes, hasEnded} = readTestRun(lines);
const knownRed = readKnownRed();
const failed = outcomes.filter(o => !o.passed);
const red = failed.filter(o => knownRed.has(o.name));
for (const o of red) console.log(`known red: ${o.name}`);
const newFailures = failed.length - red.length;
for (const o of failed.filter(f => !knownRed.has(f.name))) {
  console.log(`failed: ${o.name}`);
}
const crashed = !hasEnded || (failed.length === 0 && run.status !== 0);
if (crashed) console.log(`the run broke off: ${run.signal ?? run.status}`);
const passedCount = outcomes.length - failed.length;
console.log(`${passedCount} passed, ${newFailures} failed`);
process.exit(newFailures > 0 || crashed || outcomes.length === 0 ? 1 : 0);
