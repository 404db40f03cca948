import assert from 'node:assert/strict';
import {mkdirSync, readFileSync, writeFileSync} from 'node:fs';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {matchSnapshot} from '@verbenabeam/testing';
import {adminAnswers} from './fakes/admin-answers.js';
import {FakeAdminServer} from './fakes/fake-admin-server.js';
import {runCli} from './run-cli.js';

let server: FakeAdminServer | null = null;
let node: string;
let exit: number;
let printed: {out: string[]; err: string[]};

Given('a command line and a fake admin server', async () => {
  server = new FakeAdminServer(adminAnswers);
  node = await server.start();
});

After({tags: '@cli'}, () => {
  server?.stop();
  server = null;
});

When('the command line runs {string}', async (words: string) => {
  printed = {out: [], err: []};
  const argv = ['node', 'verbenabeam', ...words.split(' '), '--node', node];
  exit = await runCli([...argv, '--author', 'ana'], {
    out: line => printed.out.push(line),
    err: line => printed.err.push(line),
    env: {VERBENABEAM_TOKEN: 'operator-token'},
  });
});

When('the command line runs {string} alone', async (words: string) => {
  printed = {out: [], err: []};
  mkdirSync('tmp', {recursive: true});
  exit = await runCli(['node', 'verbenabeam', ...words.split(' ')], {
    out: line => printed.out.push(line),
    err: line => printed.err.push(line),
    env: {VERBENABEAM_TOKEN: 'operator-token'},
  });
});

Then(
  'the emulated figures are in {string} and drawn in {string}',
  (figures: string, plot: string) => {
    const runs = JSON.parse(readFileSync(figures, 'utf8')) as unknown[];
    assert.equal(runs.length, 2);
    assert.ok(readFileSync(plot, 'utf8').startsWith('<svg'));
  },
);

Then(
  'the command line exits with {int} and prints the snapshot {string}',
  (status: number, name: string) => {
    const text = [...printed.out, ...printed.err].join('\n');
    assert.equal(exit, status, text);
    matchSnapshot(printed, {owner: 'apps/cli', name});
  },
);

Then('the command line has sent its token and {string}', (line: string) => {
  const [sent, ...others] = server!.requests;
  assert.deepEqual(others, []);
  assert.equal(sent?.line, line);
  assert.equal(sent?.token, 'Bearer operator-token');
  if (line.startsWith('POST')) assert.ok(sent?.body.includes('"ana"'));
});

const logFolder = 'tmp/explain-logs';
const logPaths = [`${logFolder}/entry.log`, `${logFolder}/serving.log`];

function logLine(time: number, node: string, fields: object): string {
  return JSON.stringify({
    level: 30,
    time: 1_780_000_000_000 + time,
    node,
    ...fields,
  });
}

Given('log files of two nodes', () => {
  mkdirSync(logFolder, {recursive: true});
  const entry = [
    logLine(20, 'n1', {
      part: 'calls',
      requestId: 'c1',
      status: 503,
      code: 1604,
      attempts: ['n2 v1 refused 1604 0 13'],
      msg: 'Call did not go as planned.',
    }),
    logLine(30, 'n1', {part: 'calls', requestId: 'c10', msg: 'Another call.'}),
    'c1 is named in a line that is no JSON',
  ];
  const serving = [
    logLine(12, 'n2', {
      part: 'serving',
      requestId: 'c1',
      code: 1604,
      inFlight: 12,
      queued: 16,
      slots: 12,
      msg: 'Call did not run to its end here.',
    }),
    logLine(15, 'n2', {part: 'calls', requestId: 'c1.s1', msg: 'A sub-call.'}),
  ];
  writeFileSync(logPaths[0] ?? '', entry.join('\n'));
  writeFileSync(logPaths[1] ?? '', serving.join('\n'));
});

async function explain(callId: string, paths: readonly string[]) {
  printed = {out: [], err: []};
  exit = await runCli(['node', 'verbenabeam', 'explain', callId, ...paths], {
    out: line => printed.out.push(line),
    err: line => printed.err.push(line),
    env: {},
  });
}

When(
  'the command line explains call {string} from both logs',
  (callId: string) => explain(callId, logPaths),
);

When(
  'the command line explains call {string} from a log that is not there',
  (callId: string) => explain(callId, [`${logFolder}/none.log`]),
);

Then(
  'the command line exits with {int} and names the log',
  (status: number) => {
    assert.equal(exit, status);
    assert.match(printed.err.join('\n'), /none\.log/);
  },
);
