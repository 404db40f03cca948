import assert from 'node:assert/strict';
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {TcpPeerBus} from '@verbenabeam/wire';
import {
  nodeKey,
  operatorToken,
  runProcess,
  waitUntil,
} from '../../../scripts/lib/environment.mjs';
import type {Ended} from '../../../scripts/lib/environment.mjs';
import {endFleet, fleet, newFleet} from './test/current-fleet.js';
import {fleetDocument} from './test/fleet-document.js';
import {sendRawFrame} from './test/raw-wire.js';

let submits: Ended[] = [];

After({tags: '@processes'}, () => endFleet());

Given(
  'a process fleet of {int} instances under a load of {int} calls a second',
  async (count: number, callsPerSecond: number) => {
    await newFleet().start(count);
    await fleet().begin(callsPerSecond);
  },
);

Given('the process fleet has a trial node', async () => {
  await fleet().env.startInstance({
    name: 'trial',
    service: 'none',
    dataCentre: 'cz-1',
    environment: 'trial',
    upstream: false,
  });
});

When(
  'a process fleet operator submits a changed document at node {int}',
  async (at: number) => {
    const {status, err} = await fleet().submit(
      fleetDocument({timeout: '4s'}),
      at,
    );
    assert.equal(status, 0, err);
  },
);

When(
  'a process fleet operator promotes a trial version at node {int}',
  async (at: number) => {
    const trial = fleet().env.instances.find(i => i.name === 'trial');
    assert.ok(trial);
    const file = fleet().env.writeDocument(
      'trial.toml',
      fleetDocument({timeout: '3s'}),
    );
    const submitted = await fleet().env.cliAt(trial, [
      'submit',
      file,
      '--env',
      'trial',
    ]);
    assert.equal(submitted.status, 0, submitted.err);
    const promoted = await fleet().env.cliAt(fleet().instance(at), [
      'promote',
      '1',
    ]);
    assert.equal(promoted.status, 0, promoted.err);
  },
);

Then(
  'every process fleet node holds version {int}',
  async (version: number) => {
    await fleet().untilAllHold(version);
    if (fleet().load.running) await fleet().load.untilAnswered(20);
    assert.ok((await fleet().versions()).every(v => v === version));
  },
);

Then('no process fleet call failed', async () => {
  await fleet().load.stop();
  assert.ok(fleet().load.seen.length > 0);
  assert.deepEqual(fleet().load.failed, []);
});

Then('process fleet callers saw versions 1, 2 and 3', () => {
  const seen = new Set(fleet().load.seen.map(call => call.configVersion));
  assert.deepEqual([...seen].sort(), [1, 2, 3]);
});

function assertRefused(ended: Ended, code: number, exit: number): void {
  assert.equal(ended.status, exit, ended.err);
  assert.match(ended.err, new RegExp(`^error ${code} `));
}

Then(
  'the process fleet refuses a document with an unknown service with {int} and exit status {int}',
  async (code: number, exit: number) => {
    const wrong = fleetDocument().replace(
      'service = "redelivery"',
      'service = "missing"',
    );
    assertRefused(await fleet().submit(wrong), code, exit);
  },
);

Then(
  'the process fleet refuses a submit without the operator token with {int} and exit status {int}',
  async (code: number, exit: number) => {
    const changed = fleetDocument({timeout: '4s'});
    assertRefused(await fleet().submit(changed, 1, [], ''), code, exit);
  },
);

Then(
  'the process fleet refuses settings with a wrong unit with {int} and exit status {int}',
  async (code: number, exit: number) => {
    const file = path.join(fleet().env.folder, 'wrong.toml');
    const text = `
[node]
environment = "production"
data_centre = "cz-1"
region = "cz"
[listen]
callers = "127.0.0.1:0"
wire = "127.0.0.1:0"
admin = "127.0.0.1:0"
[store]
endpoints = ["http://127.0.0.1:1"]
timeout = "1 fortnight"
[access]
node_key = "${nodeKey}"
operator_token = "${operatorToken}"
`;
    writeFileSync(file, text);
    const program = 'apps/node/dist/main.js';
    const args = [program, '--config', file, '--check'];
    assertRefused(await runProcess(args), code, exit);
  },
);

Then(
  'the process fleet refuses a peer with a wrong node key with {int}',
  async (code: number) => {
    const bus = new TcpPeerBus({
      nodeId: 'stranger',
      nodeKey: Buffer.from('another-node-key-0123456789'),
    });
    const peer = fleet().instance(1).node.info['wire'] as `${string}:${number}`;
    const res = await bus.request(peer, 'config.pull', {}, {timeoutMs: 3_000});
    await bus.close();
    assert.ok(res.isErr);
    assert.equal(res.error.code.code, code);
  },
);

/** The code is in the node's log, as the connection closes without answer. */
async function untilLogged(code: number): Promise<void> {
  const {log} = fleet().instance(1).node;
  const line = new RegExp(`Connection closed.*code=${code}\\b`);
  await waitUntil(() => line.test(log()), `the node logs ${code}`, 5_000);
}

Then(
  'the process fleet refuses an oversized frame with {int}',
  async (code: number) => {
    const wire = fleet().instance(1).node.info['wire'] ?? '';
    await sendRawFrame(wire, nodeKey, Buffer.alloc(16), 2 ** 31);
    await untilLogged(code);
  },
);

Then(
  'the process fleet refuses an undecodable frame with {int}',
  async (code: number) => {
    const wire = fleet().instance(1).node.info['wire'] ?? '';
    await sendRawFrame(wire, nodeKey, Buffer.alloc(16, 0xff));
    await untilLogged(code);
  },
);

Then(
  'the process fleet history ends with version {int}',
  async (version: number) => {
    const args = ['history', '--json'];
    const {out} = await fleet().env.cliAt(fleet().instance(1), args);
    const {versions} = JSON.parse(out) as {versions: {version: number}[]};
    assert.equal(versions[0]?.version, version);
  },
);

When(
  'two process fleet operators submit on version 1 at nodes 1 and 2 at once',
  async () => {
    submits = await Promise.all([
      fleet().submit(fleetDocument({timeout: '4s'}), 1, ['--base', '1']),
      fleet().submit(fleetDocument({timeout: '3s'}), 2, ['--base', '1']),
    ]);
  },
);

Then(
  'one process fleet submit won and the loser got {int}, exit status {int}, the winner and the difference',
  (code: number, exit: number) => {
    const [loser, ...others] = submits.filter(({status}) => status !== 0);
    assert.ok(loser);
    assert.equal(others.length, 0, 'both submits were refused');
    assertRefused(loser, code, exit);
    const winner = submits[0] === loser ? 'n2' : 'n1';
    assert.match(loser.err, new RegExp(`winner: version 2 by ${winner} at `));
    assert.match(loser.err, /route read: timeout \d000ms -> \d000ms/);
  },
);
