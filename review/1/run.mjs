/**
 * A node is killed while it passes on answers without a length. The check: no
 * success with a seal looks complete with a part of the server's body.
 */
import {Consumers} from '../lib/load.mjs';
import {EXIT, host, isTrouble, runCase, sleep} from '../lib/scene.mjs';

const machines = 4;
const consumers = 8;
const partMs = 300;
const runMs = 2_000;
const settleMs = 1_000;

await runCase(import.meta.url, async scene => {
  const server = {
    service: 'files',
    workMs: () => 60,
    unframed: () => true,
    partMs: () => partMs,
  };
  await scene.start(Array.from({length: machines}, () => server));
  scene.configure([{prefix: '/file/', service: 'files'}]);
  await scene.run();
  const [machine] = scene.machines;
  const load = new Consumers({
    machine,
    count: consumers,
    pauseMs: 50,
    next: (n, i) => [
      {id: `c${n}-${i}`, host, path: '/file/x', deadlineMs: 1_500},
    ],
  });
  await sleep(runMs);
  if (isTrouble) scene.signal(machine, 'SIGKILL');
  await sleep(settleMs);
  await load.stop();

  const arrivals = scene.arrivals();
  let whole = 0;
  let cut = 0;
  for (const {id, status, headers, body, end, sentAt} of load.rows) {
    const isSuccess = status >= 200 && status < 300;
    const runs = arrivals.get(id) ?? [];
    if (!isSuccess) {
      scene.record(`${id} sent at ${scene.at(sentAt)} ms: ${end}`);
    } else if (runs.some(row => row.body === body)) {
      whole++;
    } else {
      cut++;
      const seal = headers.get('server-seal');
      const wholeBody = JSON.stringify(runs[0]?.body);
      scene.record(
        `${id} sent at ${scene.at(sentAt)} ms: ${status}, seal ${seal}, no length, ` +
          `channel ended without a reset, body ${JSON.stringify(body)}, ` +
          `the server's whole body ${wholeBody}`,
      );
    }
  }
  scene.record(
    `${load.rows.length} requests, ${whole} whole successes, ${cut} cut ones that look complete`,
  );
  if (whole === 0) return EXIT.couldNotRun;
  return cut > 0 ? EXIT.broken : EXIT.held;
});
