/**
 * Runs a small environment of three services in two data centres: submits a
 * document, sends calls, changes the document while calls run, moves a service
 * to a new version, and stops everything.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {Environment, waitUntil} from './lib/environment.mjs';
import {CallLoad} from './lib/call-load.mjs';

const services = ['redelivery', 'findings', 'records'];
const dataCentres = ['cz-1', 'cz-2'];
const moveTimeoutMs = 240_000;

function documentText({timeout = '2s', move = ''} = {}) {
  const parts = services.map(
    service => `
[services.${service}]
versions = ["v1", "v2"]
current = "v1"

[[routes]]
name = "${service}-read"
service = "${service}"
path_prefix = "/${service}"
methods = ["GET"]
timeout = "${timeout}"

[[routes]]
name = "${service}-write"
service = "${service}"
path_prefix = "/${service}"
methods = ["POST"]
timeout = "${timeout}"
`,
  );
  return `
[policy]
strictness = "fast"

[callers]
classes = ["lessor", "inspector"]
${parts.join('')}${move}`;
}

function moveText(deadline) {
  return `
[[moves]]
id = "findings-v2"
service = "findings"
to = "v2"
deadline = ${deadline.toISOString()}
`;
}

function print(title, text) {
  process.stdout.write(`\n== ${title}\n${text.trimEnd()}\n`);
}

async function run(env) {
  await env.startStore();
  for (const dataCentre of dataCentres) {
    for (const service of services) {
      const name = `${service}-${dataCentre}`;
      await env.startInstance({name, service, dataCentre});
    }
  }
  for (const dataCentre of dataCentres) {
    const name = `findings-v2-${dataCentre}`;
    const spec = {name, service: 'findings', version: 'v2', dataCentre};
    await env.startInstance(spec);
  }
  const nodes = env.instances.length;
  print('started', `store, ${nodes} nodes and ${nodes} upstreams`);

  const file = env.writeDocument('production.toml', documentText());
  const submitted = await env.cli('submit', file, '--author', 'demo');
  print('verbenabeam submit', submitted.out + submitted.err);
  await waitUntil(() => allHold(env, 1), 'every node holds version 1');
  await env.untilReady();

  const load = new CallLoad(env.instances.map(i => i.node.info.callers));
  load.start({callsPerSecond: 200, paths: services.map(s => `/${s}/1`)});
  await sleep(1_000);

  const edited = env.writeDocument(
    'edited.toml',
    documentText({timeout: '3s'}),
  );
  const startedAt = Date.now();
  const changed = await env.cli('submit', edited, '--author', 'demo');
  print('verbenabeam submit (while calls run)', changed.out + changed.err);
  await waitUntil(() => allHold(env, 2), 'every node holds version 2');
  print(
    'change',
    `on all nodes ${Date.now() - startedAt} ms after the command`,
  );
  print('verbenabeam diff 1 2', (await env.cli('diff', '1', '2')).out);
  print('verbenabeam status', (await env.cli('status')).out);

  const deadline = new Date(Date.now() + moveTimeoutMs);
  const move = documentText({timeout: '3s', move: moveText(deadline)});
  const moveFile = env.writeDocument('move.toml', move);
  const moved = await env.cli('submit', moveFile, '--author', 'demo');
  print('verbenabeam submit (move)', moved.out + moved.err);
  if (process.argv.includes('--with-move')) {
    await waitUntil(
      async () =>
        (await moveStates(env)).some(s => s !== 'running' && s !== 'waiting'),
      'the move is decided',
      moveTimeoutMs,
    );
  } else {
    await waitUntil(
      async () => (await moveStates(env)).includes('running'),
      'the move runs',
      30_000,
    );
    await sleep(3_000);
  }
  print('verbenabeam moves', (await env.cli('moves')).out);

  const report = await load.stop();
  print('calls', report.text);
  print(
    `verbenabeam explain ${report.lastCallId}`,
    (await env.cli('explain', report.lastCallId)).out,
  );
  return report.failed === 0;
}

async function allHold(env, version) {
  const {out} = await env.cli('status', '--json');
  if (out === '') return false;
  const {nodes} = JSON.parse(out);
  return (
    nodes.length === env.instances.length &&
    nodes.every(node => node.configVersion >= version)
  );
}

async function moveStates(env) {
  const {out} = await env.cli('moves', '--json');
  return JSON.parse(out).moves.map(move => move.state);
}

const env = new Environment();
let ok = false;
try {
  ok = await run(env);
} finally {
  const graceful = await env.stop();
  print(
    'stopped',
    graceful
      ? 'all processes ended by themselves'
      : 'some processes had to be killed',
  );
  ok &&= graceful;
}
process.exitCode = ok ? 0 : 1;
