/**
 * Measures the processor time of three nodes for a call, from their start on. Half of the
 * calls pass two nodes. Run by `pair-cost.mjs` in a folder beside `review/lib`; prints the
 * ms of each window as JSON.
 */
import {readFileSync} from 'node:fs';
import http from 'node:http';
import {performance} from 'node:perf_hooks';
import {EXIT, host, runCase, sleep} from '../lib/scene.mjs';

const callsPerSecond = 450;
const seconds = 13;
const windowMs = 4_000;
const timeoutMs = 3_000;
const workMs = () => 15;
const slots = 60;
const msPerTick = 10;
const pollMs = 2;

function processorMs({child}) {
  const stat = readFileSync(`/proc/${child.pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[11]) + Number(fields[12])) * msPerTick;
}

await runCase(import.meta.url, async scene => {
  const service = name => ({service: name, slots, workMs});
  await scene.start([service('portal'), service('other'), service('other')]);
  scene.configure([
    {prefix: '/a/', service: 'portal', kind: 'safe', timeoutMs},
    {prefix: '/b/', service: 'other', kind: 'unsafe', timeoutMs},
  ]);
  await scene.run();
  let sent = 0;
  let answered = 0;
  let failed = 0;
  const call = machine => {
    const id = `call-${sent}`;
    const path = sent++ % 2 === 0 ? '/a/x' : '/b/x';
    const headers = {host, 'request-id': id, 'deadline-ms': timeoutMs};
    const url = `http://${machine.outbound}${path}`;
    const req = http.get(url, {agent: false, headers}, res => {
      res.resume();
      res.on('end', () => (res.statusCode === 200 ? answered++ : failed++));
    });
    req.on('error', () => failed++);
  };
  const used = () =>
    scene.machines.reduce((sum, machine) => sum + processorMs(machine), 0);
  const begin = performance.now();
  const windows = [];
  let last = {at: 0, used: used(), answered: 0};
  for (let now = 0; now < seconds * 1_000; now = performance.now() - begin) {
    while (sent < (now * callsPerSecond) / 1_000)
      call(scene.machines[sent % 3]);
    if (now - last.at >= windowMs) {
      const next = {at: now, used: used(), answered};
      const calls = next.answered - last.answered;
      windows.push((next.used - last.used) / calls);
      last = next;
    }
    await sleep(pollMs);
  }
  scene.record(`cost ${JSON.stringify(windows)}`);
  return failed > 0 ? EXIT.broken : EXIT.held;
});
