/**
 * Measures what the data path adds to a call: an upstream called directly and
 * through an entry and a serving node, each in its own process. Calls are sent
 * at random times of a given rate; latency counts from the intended time. The
 * path "relay" crosses the same two processes as bytes only; it is the least
 * that two hops cost on the machine at that moment.
 *
 * Usage: node scripts/call-overhead.mjs [--rates 100,300,600] [--seconds 6]
 *        [--rounds 2] [--profile <directory>]
 */
import {fork, spawn} from 'node:child_process';
import {once} from 'node:events';
import {performance} from 'node:perf_hooks';
import {setImmediate} from 'node:timers/promises';
import {parseArgs} from 'node:util';
import {Pool} from 'undici';
import {seededRandom} from '../packages/core/dist/index.js';

const {values} = parseArgs({
  options: {
    rates: {type: 'string', default: '100,300,600'},
    seconds: {type: 'string', default: '6'},
    rounds: {type: 'string', default: '2'},
    profile: {type: 'string'},
  },
});
const rates = values.rates.split(',').map(Number);
const seconds = Number(values.seconds);
const rounds = Number(values.rounds);
const body = Buffer.alloc(1024, 'x');
const warmUpCalls = 3000;
const rng = seededRandom(1);
const children = [];

async function startUpstream() {
  const main = 'apps/upstream-standin/dist/main.js';
  const args = [main, '--slots', '500', '--service', 'files'];
  const child = spawn(process.execPath, args, {stdio: ['ignore', 'pipe', 2]});
  children.push(child);
  const [line] = await once(child.stdout, 'data');
  return JSON.parse(String(line)).address;
}

async function startNode(name, upstream) {
  const execArgv = values.profile
    ? ['--cpu-prof', `--cpu-prof-dir=${values.profile}/${name}`]
    : [];
  const options = {execArgv};
  const child = fork('scripts/call-overhead-node.mjs', [name], options);
  children.push(child);
  child.send({upstream});
  const [started] = await once(child, 'message');
  return {child, ...started};
}

async function cpuMs(node) {
  node.child.send({cpu: true});
  const [usage] = await once(node.child, 'message');
  return (usage.user + usage.system) / 1000;
}

/** Sends one call; resolves to true if the whole body came back. */
function send(pool) {
  return new Promise(resolve => {
    let size = 0;
    let status = 0;
    pool.dispatch(
      {method: 'POST', path: '/read', body},
      {
        onConnect: () => undefined,
        onHeaders: code => {
          status = code;
          return true;
        },
        onData: chunk => {
          size += chunk.length;
          return true;
        },
        onComplete: () => resolve(status === 200 && size === body.length),
        onError: () => resolve(false),
      },
    );
  });
}

/** Latencies in ms, counted from the intended send times. */
async function run(pool, rate) {
  const latencies = [];
  let failed = 0;
  const running = [];
  const startAt = performance.now();
  let intended = startAt;
  for (;;) {
    intended += (-Math.log(1 - rng.float()) * 1000) / rate;
    if (intended > startAt + seconds * 1000) break;
    // The loop spins, because a timer would add up to a millisecond.
    while (performance.now() < intended) await setImmediate();
    const at = intended;
    running.push(
      send(pool).then(whole => {
        if (whole) latencies.push(performance.now() - at);
        else failed++;
      }),
    );
  }
  await Promise.all(running);
  return {latencies, failed};
}

function quantile(sorted, q) {
  return sorted[Math.min(sorted.length - 1, Math.floor(q * sorted.length))];
}

function summary(latencies) {
  const sorted = latencies.toSorted((a, b) => a - b);
  return {p50: quantile(sorted, 0.5), p99: quantile(sorted, 0.99)};
}

const upstream = await startUpstream();
const serving = await startNode('serving', upstream);
const entry = await startNode('entry', upstream);
entry.child.send({sendTo: serving.wire, relayTo: serving.relay});
const pools = {
  direct: new Pool(`http://${upstream}`, {connections: 64}),
  relay: new Pool(`http://${entry.relay}`, {connections: 64}),
  mesh: new Pool(entry.url, {connections: 64}),
};
for (const pool of Object.values(pools)) {
  for (let i = 0; i < warmUpCalls; i++) await send(pool);
}
for (const rate of rates) {
  const all = {direct: [], relay: [], mesh: []};
  const cpu = {entry: 0, serving: 0};
  let failed = 0;
  for (let round = 0; round < rounds; round++) {
    for (const path of Object.keys(pools)) {
      const before = [await cpuMs(entry), await cpuMs(serving)];
      const result = await run(pools[path], rate);
      failed += result.failed;
      all[path].push(...result.latencies);
      if (path !== 'mesh') continue;
      cpu.entry += (await cpuMs(entry)) - before[0];
      cpu.serving += (await cpuMs(serving)) - before[1];
    }
  }
  const direct = summary(all.direct);
  const relay = summary(all.relay);
  const mesh = summary(all.mesh);
  const calls = all.mesh.length;
  const ms = value => value.toFixed(3);
  console.log(
    `rate=${rate}/s calls=${calls} failed=${failed} ` +
      `direct p50=${ms(direct.p50)} p99=${ms(direct.p99)} ` +
      `relay p50=${ms(relay.p50)} p99=${ms(relay.p99)} ` +
      `mesh p50=${ms(mesh.p50)} p99=${ms(mesh.p99)} ` +
      `added p50=${ms(mesh.p50 - direct.p50)} ` +
      `p99=${ms(mesh.p99 - direct.p99)} ms; CPU per call ` +
      `entry=${ms(cpu.entry / calls)} serving=${ms(cpu.serving / calls)} ms`,
  );
}
for (const pool of Object.values(pools)) await pool.destroy();
for (const child of children) child.kill('SIGTERM');
