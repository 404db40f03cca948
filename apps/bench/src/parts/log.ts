import {setTimeout as sleep} from 'node:timers/promises';
import {LogFleet} from '../log/log-fleet.js';
import {currentLoad} from '../report/machine.js';
import type {Row} from '../report/part-result.js';
import type {PartOptions} from './part-options.js';

const nodes = 2;
const callsPerSecond = 150;
const msPerSecond = 1_000;
const sendGapMs = 5;
/** Code of the data path is optimised by then. */
const warmUpMs = 20_000;
const percent = 100;
/** On, off, off, on: what rises or falls all the time counts for neither. */
const order = [true, false, false, true];

/**
 * Processor time of the structured log: the same nodes with the log on and off in
 * turn, 150 calls/s at each node, of which a third is refused.
 *
 * @internal
 */
export async function measureLog({seconds}: PartOptions): Promise<Row[]> {
  const fleet = new LogFleet();
  await fleet.start(nodes);
  const sending = startSending(fleet);
  const cpuMs = {on: 0, off: 0};
  let lines = 0;
  let windows = 0;
  try {
    await fleet.switchLog(true);
    await sleep(warmUpMs);
    while (windows < seconds) {
      for (const isOn of order) {
        windows++;
        const before = await fleet.switchLog(isOn);
        await sleep(msPerSecond);
        const after = await fleet.switchLog(isOn);
        cpuMs[isOn ? 'on' : 'off'] += after.cpuMs - before.cpuMs;
        lines += after.lines - before.lines;
      }
    }
  } finally {
    clearInterval(sending);
    await fleet.end();
  }
  const half = windows / 2;
  return [
    {
      labels: {nodes, callsPerSecond},
      values: {
        logPercent: ((cpuMs.on - cpuMs.off) / cpuMs.on) * percent,
        onMsPerSecond: cpuMs.on / half,
        offMsPerSecond: cpuMs.off / half,
        linesPerSecond: lines / half,
      },
      load: currentLoad(),
    },
  ];
}

function startSending(fleet: LogFleet): NodeJS.Timeout {
  const startAt = performance.now();
  let sent = 0;
  return setInterval(() => {
    const elapsedS = (performance.now() - startAt) / msPerSecond;
    const due = elapsedS * callsPerSecond * nodes;
    for (; sent < due; sent++) fleet.send();
  }, sendGapMs);
}
