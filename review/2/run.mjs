/**
 * A node gets SIGTERM, and SIGHUP while it answers its last requests. The check:
 * no request that was passed on to a server ends with its channel.
 */
import {performance} from 'node:perf_hooks';
import {Consumers} from '../lib/load.mjs';
import {BOUNDS, EXIT, host, isTrouble, runCase, sleep} from '../lib/scene.mjs';

const machines = 4;
const consumers = 8;
const workMs = 290;
const deadlineMs = 2_000;
const runMs = 2_000;
const hangUpAfterMs = 1_000;
/** Of a request's time, from which on its loss doesn't count. */
const usedShare = 0.7;

await runCase(import.meta.url, async scene => {
  const server = {service: 'findings', workMs: () => workMs};
  await scene.start(Array.from({length: machines}, () => server));
  scene.configure([
    {prefix: '/file/', service: 'findings'},
    {prefix: '/signoff/', service: 'findings', kind: 'unsafe'},
  ]);
  await scene.run();
  const [machine] = scene.machines;
  const load = new Consumers({
    machine,
    count: consumers,
    pauseMs: 50,
    next: (n, i) => {
      const id = `c${n}-${i}`;
      const request = {id, host, deadlineMs};
      return (n + i) % 2 === 0
        ? [{...request, path: '/file/x'}]
        : [{...request, path: '/signoff/x', method: 'POST', body: 'signed'}];
    },
  });
  await sleep(runMs);
  const stopAt = scene.signal(machine, 'SIGTERM');
  await sleep(hangUpAfterMs);
  if (isTrouble) scene.signal(machine, 'SIGHUP');
  const plannedUntil = stopAt + (BOUNDS.graceS + 1) * 1_000;
  await sleep(plannedUntil - performance.now());
  await load.stop();

  const arrivals = scene.arrivals();
  let lost = 0;
  for (const row of load.rows) {
    const [run] = arrivals.get(row.id) ?? [];
    if (row.answeredAt !== null) continue;
    const place = run
      ? `reached server ${run.server} at ${scene.at(run.at)} ms, there ${run.end}`
      : 'reached no server';
    scene.record(
      `${row.id} ${row.path} sent at ${scene.at(row.sentAt)} ms: ${row.end}, ${place}`,
    );
    const usedMs = (row.closedAt ?? Infinity) - row.sentAt;
    const isCounted = run && usedMs < usedShare * deadlineMs;
    if (isCounted && row.closedAt < plannedUntil) lost++;
  }
  const {exit} = machine;
  scene.record(
    `${load.rows.length} requests, ${lost} passed on to a server and cut; the node ` +
      `ran for ${exit ? Math.round(exit.at - stopAt) : '?'} ms after SIGTERM`,
  );
  return lost > 0 ? EXIT.broken : EXIT.held;
});
