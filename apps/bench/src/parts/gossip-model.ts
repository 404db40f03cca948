import {execFile} from 'node:child_process';
import {promisify} from 'node:util';
import {currentLoad} from '../report/machine.js';
import type {Row} from '../report/part-result.js';

const program = 'packages/membership/dist/fakes/measure.js';
const timeoutMs = 110_000;
const bytesPerKb = 1_024;

interface EventFigures {
  readonly bytesPerNode: number;
  readonly messagesPerNode: number;
}

interface Figures {
  readonly size: number;
  readonly restBytesPerNodeSecond: number;
  readonly restMostBytesPerSecond: number;
  readonly tableKb: number;
  readonly joining: EventFigures;
  readonly leaving: EventFigures;
  readonly dying: EventFigures;
}

function toRow(figures: Figures): Row {
  return {
    labels: {model: 'gossip', nodes: figures.size},
    values: {
      restBytesPerSecond: figures.restBytesPerNodeSecond,
      mostBytesPerSecond: figures.restMostBytesPerSecond,
      joinBytes: figures.joining.bytesPerNode,
      leaveBytes: figures.leaving.bytesPerNode,
      deathBytes: figures.dying.bytesPerNode,
      tableMb: figures.tableKb / bytesPerKb,
    },
    load: currentLoad(),
  };
}

/**
 * Cost of the membership protocol alone, from its model on a manual clock. It
 * reaches sizes for which no processes can be started on one machine.
 *
 * @internal
 */
export async function measureGossipModel(
  sizes: readonly number[],
): Promise<Row[]> {
  const args = ['--expose-gc', program, ...sizes.map(String)];
  const run = promisify(execFile);
  const {stdout} = await run(process.execPath, args, {timeout: timeoutMs});
  const lines = stdout.split('\n').filter(Boolean);
  return lines.map(line => toRow(JSON.parse(line) as Figures));
}
