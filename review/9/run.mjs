// The two servers of a service in one zone crash at the same moment, by themselves.
// Both were at work on requests for a path that many consumers ask for.
import {writeFileSync} from 'node:fs';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {ConsumerChannel, newRequestId} from '../lib-2/consumer.mjs';
import {isBuilt, Nodes} from '../lib-2/nodes.mjs';
import {configOf, loopbackNetwork, sleep, Store} from '../lib-2/platform.mjs';
import {AppServer} from '../lib-2/server.mjs';

const hasTrouble = process.env['TROUBLE'] !== '0';
const heartbeatMs = 1_500;
const zones = ['prg-a', 'prg-b', 'prg-c'];
const serversPerZone = 2;
const backAfterMs = 4_000;
const workMs = 400;
/** stability_window_ms, after which machines are in touch again. */
const stabilityMs = 3_000;
/** Time of the steady state in which requests are counted. */
const countMs = 15_000;
/** The rule speaks of 20 requests or more and of less than a quarter. */
const leastRequests = 20;
const record = [];
const nodes = new Nodes();
const store = new Store();
const servers = [];
const startAt = performance.now();
const seconds = at => ((at - startAt) / 1_000).toFixed(2);
const note = text => record.push(`${seconds(performance.now())} s ${text}`);
let counts = null;
let isOver = false;

const first = {prefix: '/lepu270/', service: 'huvo11a'};
const added = {prefix: '/pama118/', service: 'huvo11a'};

async function main() {
  if (!isBuilt()) return 2;
  const network = loopbackNetwork();
  await store.start(network.next());
  store.put('op/config', configOf(1, [first], ['huvo11a', 'wuno96b']));
  const entries = [];
  const machines = [];
  for (const zone of zones) {
    entries.push(await addMachine(network, zone, 0, 'wuno96b'));
    for (let n = 1; n <= serversPerZone; n++)
      machines.push(await addMachine(network, zone, n, 'huvo11a'));
  }
  for (const {node} of [...entries, ...machines]) await nodes.untilReady(node);
  await sleep(stabilityMs);
  store.put('op/config', configOf(2, [first, added], ['huvo11a', 'wuno96b']));
  await sleep(stabilityMs);
  const clients = [];
  // Consumers of the first route ask for many paths, those of the other for one.
  for (const {node} of entries) {
    for (let i = 0; i < 4; i++)
      clients.push(ask(node, () => `/lepu270/${newRequestId()}`, 'first'));
    for (let i = 0; i < 14; i++)
      clients.push(ask(node, () => '/pama118/rates', 'added'));
  }
  await sleep(stabilityMs);
  if (hasTrouble) crash(machines.slice(0, serversPerZone));
  await sleep(backAfterMs + stabilityMs + 2_000);
  counts = {
    first: {asked: 0, served: 0, ends: {}},
    added: {asked: 0, served: 0, ends: {}},
  };
  note('steady state');
  await sleep(countMs);
  isOver = true;
  await Promise.all(clients);
  const share = {};
  for (const [name, {asked, served, ends}] of Object.entries(counts)) {
    share[name] = served / asked;
    note(
      `${name} route: ${served} of ${asked} served; ${JSON.stringify(ends)}`,
    );
  }
  const isBroken =
    counts.added.asked >= leastRequests && share.added < share.first / 4;
  return isBroken ? 1 : 0;
}

async function addMachine(network, zone, n, service) {
  const ip = network.next();
  const server = new AppServer({
    id: `i-${zone}-${n}-0`,
    service,
    work: (request, channel) => {
      note(`${request.id} is run by ${server.id}`);
      setTimeout(() => channel.answer(`body of ${request.id}`), workMs);
    },
  });
  await server.start(ip);
  servers.push(server);
  const node = await nodes.add({
    nodeId: `sidecar-${zone}-${n}`,
    zone,
    ip,
    service,
    appAddress: server.address,
    store: store.address,
    heartbeatMs,
  });
  server.beatTo(node.control, heartbeatMs);
  return {node, server, ip};
}

/** Servers crash and are back some seconds later as new incarnations. */
function crash(machines) {
  for (const {server, ip} of machines) {
    note(`${server.id} crashes`);
    server.crash();
    setTimeout(() => {
      const id = server.id.replace(/0$/, '1');
      note(`${id} starts`);
      void server.startAgain(id, ip, heartbeatMs);
    }, backAfterMs);
  }
}

/** A consumer that asks again and again, as instructed after a refusal. */
async function ask(node, pathOf, name) {
  await sleep(600 * Math.random());
  while (!isOver) {
    const channel = new ConsumerChannel(node.outbound);
    const counted = counts?.[name];
    const answer = await channel.send({path: pathOf(), deadlineMs: 1_500});
    channel.close();
    note(
      `${answer.id} (${name} route), sent at ${seconds(answer.sentAt)} s, ` +
        `got ${answer.status}`,
    );
    if (counted) {
      counted.asked++;
      if (answer.status === 200) counted.served++;
      counted.ends[answer.status] = (counted.ends[answer.status] ?? 0) + 1;
    }
    const after = /^retry-after: *([\d.]+)/im.exec(answer.head ?? '')?.[1];
    const pauseMs = 200 * Math.random();
    await sleep(
      answer.status === 200 ? pauseMs : Number(after ?? 0) * 1_000 + pauseMs,
    );
  }
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
