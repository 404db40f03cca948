// A request that crashes the servers that run it, sent again and again through
// one machine that is never touched, while the nodes beside the servers are
// stopped and started in turn (planned work).
import {writeFileSync} from 'node:fs';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {ConsumerChannel, newRequestId} from '../lib-2/consumer.mjs';
import {isBuilt, Nodes} from '../lib-2/nodes.mjs';
import {configOf, loopbackNetwork, sleep, Store} from '../lib-2/platform.mjs';
import {AppServer} from '../lib-2/server.mjs';

const hasTrouble = process.env['TROUBLE'] !== '0';
const serverNodes = 8;
const heartbeatMs = 1_500;
const backAfterMs = 3_000;
/** stability_window_ms of the settings. */
const stabilityMs = 3_000;
/** The rule is broken by more retries than these. */
const allowed = 3;
/** A slow machine restarts fewer nodes. */
const longestMs = 95_000;
const crashingPath = '/lepu270/crashing';
const workMs = 150;
const record = [];
const nodes = new Nodes();
const store = new Store();
const servers = [];
const startAt = performance.now();
const seconds = at => ((at - startAt) / 1_000).toFixed(2);
const note = text => record.push(`${seconds(performance.now())} s ${text}`);
/** Crashes in order: time and the attempt that caused each. */
const crashes = [];
/** Work that was lost with a crashed server and can't be repeated. */
let lostWork = 0;
let isOver = false;

async function main() {
  if (!isBuilt()) return 2;
  const network = loopbackNetwork();
  await store.start(network.next());
  store.put(
    'op/config',
    configOf(
      1,
      [
        {prefix: '/lepu270/', service: 'huvo11a'},
        {prefix: '/xapu221/', service: 'huvo11a', kind: 'unsafe'},
      ],
      ['huvo11a', 'wuno96b'],
    ),
  );
  const entry = await addMachine(network, 0, 'wuno96b');
  const rolled = [];
  for (let n = 1; n <= serverNodes; n++)
    rolled.push(await addMachine(network, n, 'huvo11a'));
  for (const node of [entry, ...rolled]) await nodes.untilReady(node);
  await sleep(stabilityMs + 1_000);
  const clients = [crashing(entry), working(entry)];
  await sleep(8_000);
  note(`${crashes.length} crashes before the planned work`);
  if (hasTrouble) {
    for (const node of rolled) {
      if (performance.now() - startAt < longestMs) await restart(node);
    }
  } else await sleep(40_000);
  await sleep(4_000);
  isOver = true;
  await Promise.all(clients);
  const third = crashes[2];
  const late = crashes.filter(c => third && c.sentAt > third.at + stabilityMs);
  note(
    `crashes: ${crashes.length}; the third at ${third ? seconds(third.at) : '-'} s`,
  );
  note(
    `retries that reached a server over ${stabilityMs} ms later: ${late.length}`,
  );
  note(`allowed: ${allowed}`);
  note(
    `unsafe requests of others that ended 502 at a crashed server: ${lostWork}`,
  );
  return late.length > allowed ? 1 : 0;
}

async function addMachine(network, n, service) {
  const ip = network.next();
  const server = new AppServer({
    id: `i-${n}-0`,
    service,
    work: (request, channel) => {
      if (request.path === crashingPath) {
        crash(server, ip, request);
        return;
      }
      note(`${request.id} is run by ${server.id}`);
      setTimeout(() => channel.answer(`body of ${request.id}`), workMs);
    },
  });
  await server.start(ip);
  servers.push(server);
  const node = await nodes.add({
    nodeId: `sidecar-prg-a-${n}`,
    zone: 'prg-a',
    ip,
    service,
    appAddress: server.address,
    store: store.address,
    heartbeatMs,
  });
  server.beatTo(node.control, heartbeatMs);
  return node;
}

/** The server ends and is back after some seconds as a new incarnation. */
function crash(server, ip, {id}) {
  const at = performance.now();
  const sentAt = sent.get(id) ?? at;
  crashes.push({at, sentAt, id, server: server.id});
  note(`attempt ${id} crashes ${server.id} (crash ${crashes.length})`);
  server.crash();
  const next = `${server.id.slice(0, server.id.lastIndexOf('-'))}-${crashes.length}`;
  setTimeout(() => {
    if (!isOver) void server.startAgain(next, ip, heartbeatMs);
  }, backAfterMs);
}

const sent = new Map();

/** The request comes again, with the same path, caller and body. */
async function crashing(entry) {
  while (!isOver) {
    const channel = new ConsumerChannel(entry.outbound);
    const id = newRequestId();
    sent.set(id, performance.now());
    const answer = await channel.send({path: crashingPath, id});
    channel.close();
    note(
      `attempt ${id} got ${answer.status === 0 ? 'no answer' : answer.status}`,
    );
    await sleep(500);
  }
}

/** Other consumers' requests that can't be repeated. */
async function working(entry) {
  const one = async () => {
    while (!isOver) {
      const channel = new ConsumerChannel(entry.outbound);
      const request = {
        path: '/xapu221/work',
        method: 'POST',
        body: Buffer.from('x'),
      };
      const answer = await channel.send({...request, deadlineMs: 2_000});
      channel.close();
      note(
        `unsafe request ${answer.id}, sent at ${seconds(answer.sentAt)} s, ` +
          `got ${answer.status}`,
      );
      if (answer.status === 502) lostWork++;
      await sleep(50);
    }
  };
  await Promise.all([1, 2, 3, 4, 5, 6, 7, 8].map(one));
}

async function restart(node) {
  note(`SIGTERM to ${node.nodeId}`);
  node.child.kill('SIGTERM');
  const endAt = performance.now() + 6_000;
  while (!node.exit && performance.now() < endAt) await sleep(50);
  if (!node.exit) node.child.kill('SIGKILL');
  while (!node.exit) await sleep(20);
  nodes.start(node);
  await nodes.untilReady(node);
  note(`${node.nodeId} is ready again`);
  await sleep(4_000);
}

let status = 2;
try {
  status = await main();
} catch (err) {
  note(`could not run: ${err.stack}`);
}
isOver = true;
await nodes.stop();
for (const server of servers) server.stop();
store.stop();
note(`exit ${status}`);
const file = fileURLToPath(new URL('record.txt', import.meta.url));
writeFileSync(file, `${record.join('\n')}\n`);
process.exit(status);
