import assert from 'node:assert/strict';
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
