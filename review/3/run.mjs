/**
 * The open channels to the store go silent for good; new ones work. The check: a
 * configuration that is written later is in force `config_apply_ms` after its ack.
 */
import {performance} from 'node:perf_hooks';
import {Channel} from '../lib/channel.mjs';
import {BOUNDS, EXIT, host, isTrouble, runCase, sleep} from '../lib/scene.mjs';

/** Two machines in each of three zones; each service has three servers. */
const services = ['alpha', 'alpha', 'beta', 'beta', 'alpha', 'beta'];
const before = [
  {prefix: '/file/', service: 'alpha'},
  {prefix: '/other/', service: 'beta'},
];
const after = [
  {prefix: '/file/', service: 'beta'},
  {prefix: '/other/', service: 'beta'},
];
/** Beyond the time after which machines are in touch again. */
const marginMs = 2_000;
const pollMs = 200;
const watchMs = 30_000;

await runCase(import.meta.url, async scene => {
  await scene.start(services.map(service => ({service})));
  scene.configure(before);
  await scene.run();

  const ask = async (machine, id) => {
    const channel = new Channel(machine.outbound);
    const row = channel.send({id, host, path: '/file/x', deadlineMs: 1_500});
    await row.done;
    channel.close();
    const service = /^answer of (\w+)/.exec(row.body)?.[1] ?? row.end;
    return {machine, service, sentAt: row.sentAt};
  };
  const askAll = i =>
    Promise.all(
      scene.machines.map(machine => ask(machine, `r${i}-${machine.nodeId}`)),
    );
  const record = answers =>
    scene.record(
      answers
        .map(({machine, service}) => `${machine.nodeId}: ${service}`)
        .join(', '),
    );

  record(await askAll('first'));
  if (isTrouble) scene.silenceStoreChannels();
  await sleep(BOUNDS.stabilityWindowMs + marginMs);
  const ackAt = scene.configure(after);
  let late = 0;
  let lastOldAt = ackAt;
  for (let i = 0; performance.now() < ackAt + watchMs; i++) {
    const answers = await askAll(i);
    const old = answers.filter(({service}) => service === 'alpha');
    for (const {sentAt} of old) {
      lastOldAt = Math.max(lastOldAt, sentAt);
      if (sentAt - ackAt > BOUNDS.configApplyMs) late++;
    }
    if (i % 5 === 0) record(answers);
    if (answers.every(({service}) => service === 'beta')) break;
    await sleep(pollMs);
  }
  scene.record(
    `${late} requests sent later than ${BOUNDS.configApplyMs} ms after the ack were run ` +
      `by the old service, the last one ${Math.round(lastOldAt - ackAt)} ms after it`,
  );
  return late > 0 ? EXIT.broken : EXIT.held;
});
