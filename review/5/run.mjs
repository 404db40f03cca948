/**
 * One server spoils the status line of one answer. The check: at the node beside
 * it, requests have their final answer 0.5 s after the timeout of their route.
 */
import {performance} from 'node:perf_hooks';
import {Consumers} from '../lib/load.mjs';
import {EXIT, host, isTrouble, runCase, sleep} from '../lib/scene.mjs';

const machines = 3;
const consumers = 20;
const timeoutMs = 200;
const graceMs = 500;
const deadlineMs = 1_500;
const runMs = 2_000;
const watchMs = 6_000;
/** The rule: eight or more, and over a quarter of those beyond the timeout. */
const leastLate = 8;
const lateShare = 0.25;

await runCase(import.meta.url, async scene => {
  const server = {
    service: 'portal',
    workMs: () => 30,
    spoils: path => path.endsWith('/spoiled') && isTrouble,
  };
  const sound = {service: 'other', workMs: () => 30};
  await scene.start([server, ...Array(machines - 1).fill(sound)]);
  scene.configure([
    {prefix: '/balance/', service: 'portal', timeoutMs},
    {prefix: '/part/', service: 'other', timeoutMs},
  ]);
  await scene.run();
  const [machine, elsewhere] = scene.machines;
  const load = new Consumers({
    machine,
    count: consumers,
    pauseMs: 100,
    next: (n, i) => [{id: `c${n}-${i}`, host, path: '/part/x', deadlineMs}],
  });
  // The faulty server answers many requests besides the one that it spoils.
  const usual = new Consumers({
    machine: elsewhere,
    count: 8,
    pauseMs: 50,
    next: (n, i) => [{id: `s${n}-${i}`, host, path: '/balance/x', deadlineMs}],
  });
  await sleep(runMs);
  const spoiledAt = performance.now();
  const one = new Consumers({
    machine: elsewhere,
    count: 1,
    pauseMs: watchMs,
    next: () => [{id: 'odd-1', host, path: '/balance/spoiled', deadlineMs}],
  });
  scene.record(
    'a consumer elsewhere sends the request whose answer is spoiled',
  );
  await sleep(watchMs);
  await Promise.all([load.stop(), one.stop(), usual.stop()]);

  const beyond = load.rows.filter(row => {
    const endAt = row.answeredAt ?? Infinity;
    return row.sentAt > spoiledAt - timeoutMs && endAt - row.sentAt > timeoutMs;
  });
  const late = beyond.filter(row => {
    const endAt = row.answeredAt ?? Infinity;
    return endAt - row.sentAt > timeoutMs + graceMs;
  });
  for (const row of late) {
    scene.record(
      `${row.id} sent at ${scene.at(row.sentAt)} ms: ${row.end ?? 'no answer'}, ` +
        `answered ${row.answeredAt === null ? 'never' : `after ${Math.round(row.answeredAt - row.sentAt)} ms`}`,
    );
  }
  const {arrivals} = machine.server;
  scene.record(`the faulty server ran ${arrivals.length} requests`);
  const gap = longestGap(load.rows);
  scene.record(
    `${load.rows.length} requests, ${beyond.length} last longer than their route's ` +
      `timeout, ${late.length} of them have no answer ${graceMs} ms after it; ` +
      `longest time without any answer ${gap} ms`,
  );
  const isBroken =
    late.length >= leastLate && late.length > lateShare * beyond.length;
  return isBroken ? EXIT.broken : EXIT.held;
});

/** Longest time in which no request of the load was answered, in ms. */
function longestGap(rows) {
  const times = rows
    .flatMap(({answeredAt}) => answeredAt ?? [])
    .sort((a, b) => a - b);
  let longest = 0;
  for (let i = 1; i < times.length; i++) {
    longest = Math.max(longest, times[i] - times[i - 1]);
  }
  return Math.round(longest);
}
