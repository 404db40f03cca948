import {execFile} from 'node:child_process';
import {promisify} from 'node:util';
import {currentLoad} from '../report/machine.js';
import type {Row} from '../report/part-result.js';

const program = 'packages/routing/dist/fakes/measure.js';
const timeoutMs = 110_000;

type Figures = Record<string, number>;

/** Turns a line of the program, `<kind> <names> <json>`, into a row. */
function toRow(line: string): Row | null {
  const at = line.indexOf('{');
  if (at < 0) return null;
  const [kind = '', ...names] = line.slice(0, at).trim().split(' ');
  const figures = JSON.parse(line.slice(at)) as Figures;
  const {atCapacity, atTwice} = figures;
  if (atCapacity === undefined || atTwice === undefined) {
    const labels = {model: kind, setting: names.join(' ')};
    return {labels, values: figures, load: currentLoad()};
  }
  const [setting = '', policy = ''] = names;
  const values = {...figures, goodputShare: atTwice / atCapacity};
  return {labels: {model: kind, setting, policy}, values, load: currentLoad()};
}

/** Figures of the routing models against their baselines. @internal */
export async function measurePolicy(): Promise<Row[]> {
  const run = promisify(execFile);
  const {stdout} = await run(process.execPath, [program], {timeout: timeoutMs});
  return stdout.split('\n').flatMap(line => toRow(line) ?? []);
}
