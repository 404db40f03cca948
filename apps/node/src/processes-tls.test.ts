import assert from 'node:assert/strict';
import {After, Given, Then} from '@cucumber/cucumber';
import type {StatusResponse} from '@verbenabeam/admin-api';
import {testTls} from '@verbenabeam/testing';
import {
  Environment,
  operatorToken,
  runProcess,
  waitUntil,
} from '../../../scripts/lib/environment.mjs';
import type {Ended} from '../../../scripts/lib/environment.mjs';

/** Exit status of `access.nodeUnreachable`. */
const unreachableStatus = 19;

/** State of one scenario. */
let env: Environment | null = null;
let authorityFile = '';

function operate(scheme: string, ...args: string[]): Promise<Ended> {
  const admin = env!.instances[0]!.node.info['admin'];
  const node = `${scheme}://${admin}`;
  return runProcess(
    ['apps/cli/dist/main.js', 'status', '--json', '--node', node, ...args],
    {VERBENABEAM_TOKEN: operatorToken},
  );
}

Given('{int} process nodes with TLS', async (count: number) => {
  env = new Environment();
  await env.startStore();
  authorityFile = env.writeDocument('node.crt', testTls.cert);
  const keyFile = env.writeDocument('node-tls.key', testTls.key);
  const settings = `
[tls]
certificate_file = "${authorityFile}"
private_key_file = "${keyFile}"
authority_file = "${authorityFile}"
`;
  const place = {service: 'records', dataCentre: 'cz-1', settings};
  for (let i = 1; i <= count; i++) {
    const name = `tls-${i}`;
    await env.startInstance({...place, name, upstream: false});
  }
});

After({tags: '@processes'}, async () => {
  await env?.kill();
  env = null;
});

Then('the process nodes with TLS see each other', async () => {
  const total = env!.instances.length;
  const allSeen = async () => {
    const {status, out, err} = await operate(
      'https',
      ...['--authority-file', authorityFile],
    );
    assert.equal(status, 0, err);
    return (JSON.parse(out) as StatusResponse).nodes.length === total;
  };
  await waitUntil(allSeen, 'the nodes see each other');
});

Then(
  'a process operator without the authority cannot reach the node',
  async () => {
    const {status, err} = await operate('https');
    assert.equal(status, unreachableStatus, err);
    assert.match(err, /certificate/);
  },
);

Then('a process operator over plain HTTP cannot reach the node', async () => {
  const {status, err} = await operate('http');
  assert.equal(status, unreachableStatus, err);
});
