import {setTimeout as sleep} from 'node:timers/promises';
import {documentText} from '../fleet/document-text.js';
import {Fleet} from '../fleet/fleet.js';
import {currentLoad} from '../report/machine.js';
import type {Row} from '../report/part-result.js';
import type {PartOptions} from './part-options.js';

const msPerSecond = 1_000;
const changes = 10;
const changeGapMs = 200;
const activeTimeoutMs = 10_000;
const restartShare = 1 / 3;

interface Calls {
  readonly reads: number;
  readonly writes: number;
  readonly rejected: number;
  readonly seconds: number;
}

async function during(
  fleet: Fleet,
  run: () => Promise<unknown>,
): Promise<Calls> {
  const before = await fleet.storeCounts();
  const startAt = Date.now();
  await run();
  const after = await fleet.storeCounts();
  const writes = after.writes - before.writes;
  return {
    reads: after.total - before.total - writes,
    writes,
    rejected: after.rejected - before.rejected,
    seconds: (Date.now() - startAt) / msPerSecond,
  };
}

function rates({reads, writes, seconds, rejected}: Calls): Row['values'] {
  return {
    readsPerSecond: reads / seconds,
    writesPerSecond: writes / seconds,
    rejected,
  };
}

async function makeChanges(fleet: Fleet): Promise<void> {
  for (let i = 0; i < changes; i++) {
    const timeout = `${100 + i}ms`;
    const text = documentText({size: 10_000, services: 3, timeout});
    const {version} = await fleet.submit(text, i);
    await fleet.awaitVersion(version, activeTimeoutMs);
    await sleep(changeGapMs);
  }
}

/** A third of the nodes stops together and starts again. */
async function restartThird(fleet: Fleet): Promise<number> {
  const count = Math.max(1, Math.round(fleet.nodes.length * restartShare));
  const leaving = fleet.nodes.slice(-count);
  await fleet.removeNodes(leaving);
  const starts = leaving.map(({host}, i) => fleet.addNode(1_000 + i, host));
  await Promise.all(starts);
  await fleet.settled();
  return count;
}

async function measureFleet(nodes: number, seconds: number): Promise<Row[]> {
  const rows: Row[] = [];
  const fleet = await Fleet.start({nodes});
  const add = (event: string, values: Row['values']) =>
    rows.push({labels: {nodes, event}, values, load: currentLoad()});
  try {
    await makeChanges(fleet);
    // The relay slots of both data centres are taken by then.
    await sleep(4_000);
    const rest = await during(fleet, () => sleep(seconds * msPerSecond));
    add('rest', rates(rest));
    const changed = await during(fleet, () => makeChanges(fleet));
    const beyondRest = (key: 'reads' | 'writes') =>
      changed[key] - (rest[key] / rest.seconds) * changed.seconds;
    add('change', {
      ...rates(changed),
      readsPerChange: beyondRest('reads') / changes,
      writesPerChange: beyondRest('writes') / changes,
    });
    let restarted = 0;
    const restart = await during(fleet, async () => {
      restarted = await restartThird(fleet);
    });
    const each = (key: 'reads' | 'writes') =>
      (restart[key] - (rest[key] / rest.seconds) * restart.seconds) / restarted;
    add('restart', {
      ...rates(restart),
      seconds: restart.seconds,
      readsPerRestart: each('reads'),
      writesPerRestart: each('writes'),
    });
  } finally {
    await fleet.end();
  }
  return rows;
}

/** Calls to the store at rest, per change and in a mass restart. @internal */
export async function measureStore(options: PartOptions): Promise<Row[]> {
  const rows: Row[] = [];
  for (const nodes of options.nodes) {
    rows.push(...(await measureFleet(nodes, options.seconds)));
  }
  return rows;
}
