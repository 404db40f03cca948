// A configuration leaves out a service for some seconds. Meanwhile a server of it
// says that it is leaving, and its node acknowledges that.
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
/** drain_ms of the settings. */
const drainMs = 2_000;
const workMs = 200;
/** Time of the leaving server from its ack to its end: drain_ms and a little. */
const leavesAfterMs = drainMs + 1_000;
const record = [];
const nodes = new Nodes();
const store = new Store();
const servers = [];
const startAt = performance.now();
const seconds = at => ((at - startAt) / 1_000).toFixed(2);
const note = text => record.push(`${seconds(performance.now())} s ${text}`);
const late = [];
let lost = 0;
let isOver = false;
let version = 0;

function configure(withService) {
  const rules = [{prefix: '/xapu221/', service: 'wuno96b', kind: 'unsafe'}];
  const services = ['wuno96b'];
  if (withService) {
    rules.push({prefix: '/lepu270/', service: 'huvo11a', kind: 'unsafe'});
    services.push('huvo11a');
  }
  store.put('op/config', configOf(++version, rules, services));
  note(`configuration ${version} ${withService ? 'with' : 'without'} huvo11a`);
}

async function main() {
  if (!isBuilt()) return 2;
  const network = loopbackNetwork();
  await store.start(network.next());
  configure(true);
  const entry = await addMachine(network, 0, 'wuno96b');
  const others = [];
  for (let n = 1; n <= 3; n++)
    others.push(await addMachine(network, n, 'huvo11a'));
  for (const {node} of [entry, ...others]) await nodes.untilReady(node);
  await sleep(4_000);
  const sending = [1, 2, 3, 4].map(() => send(entry.node));
  await sleep(1_000);
  for (const machine of others) await leave(machine);
  isOver = true;
  await Promise.all(sending);
  note(
    `requests that reached a server over ${drainMs} ms after its ack: ${late.length}`,
  );
  note(`requests of these that were lost with the server: ${lost}`);
  return late.length > 0 ? 1 : 0;
}

async function addMachine(network, n, service) {
  const ip = network.next();
  const server = new AppServer({
    id: `i-${n}-0`,
    service,
    work: (request, channel) => {
      setTimeout(() => channel.answer(`body of ${request.id}`), workMs);
    },
  });
  await server.start(ip);
  servers.push(server);
  server.onArrival = ({id}) => {
    note(`${id} is run by ${server.id}`);
    const after = performance.now() - server.ackedAt;
    if (!(after > drainMs)) return;
    late.push(id);
    note(`${id} reaches ${server.id} ${Math.round(after)} ms after its ack`);
  };
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
  return {node, server, ip, n};
}

/** One server leaves, and another one takes its place. */
async function leave({server, ip, n}) {
  if (hasTrouble) configure(false);
  await sleep(700);
  // The server says so with a ping at its usual time, and with all that follow.
  server.state = 'draining';
  const status = await server.beat();
  server.ackedAt = performance.now();
  note(`${server.id} is draining: ack ${status}`);
  if (status !== 200) throw new Error('no ack');
  await sleep(drainMs + 300);
  if (hasTrouble) configure(true);
  await sleep(leavesAfterMs - drainMs - 300);
  await server.leave();
  note(`${server.id} has left`);
  server.crash();
  server.ackedAt = undefined;
  await sleep(1_000);
  await server.startAgain(`i-${n}-1`, ip, heartbeatMs);
  await sleep(4_000);
}

/** Requests of a consumer, one after the other. */
async function send(node) {
  while (!isOver) {
    const channel = new ConsumerChannel(node.outbound);
    const id = newRequestId();
    const request = {
      path: '/lepu270/x',
      method: 'POST',
      body: Buffer.from('x'),
    };
    const answer = await channel.send({...request, id, deadlineMs: 2_000});
    channel.close();
    note(`${id} sent at ${seconds(answer.sentAt)} s got ${answer.status}`);
    if (answer.status === 502 && late.includes(id)) lost++;
    await sleep(100);
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
