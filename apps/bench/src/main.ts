#!/usr/bin/env node
/**
 * Runs the benchmark parts and writes `bench-results/<part>.json` and `.svg`.
 * The exit status is 1 if a bound is broken.
 *
 * @packageDocumentation
 */
import {mkdirSync, writeFileSync} from 'node:fs';
import {cac} from 'cac';
import {checkBounds} from './bounds.js';
import {PARTS} from './parts/all-parts.js';
import type {Part} from './parts/all-parts.js';
import type {PartResult} from './report/part-result.js';
import {describeMachine} from './report/machine.js';
import {renderBars} from './report/svg.js';
import {renderTable} from './report/table.js';

const folder = 'bench-results';
const usageExit = 2;

interface Flags {
  readonly seconds?: number;
  readonly nodes?: string | number;
  readonly only?: string | number;
}

async function runPart(name: string, part: Part, flags: Flags) {
  const given = flags.nodes === undefined ? null : String(flags.nodes);
  const rows = await part.measure({
    seconds: flags.seconds ?? part.defaults.seconds,
    nodes: given?.split(',').map(Number) ?? part.defaults.nodes,
    ...(flags.only === undefined ? {} : {only: String(flags.only)}),
  });
  const result: PartResult = {
    part: name,
    measuredAt: new Date().toISOString(),
    machine: describeMachine(),
    rows,
    checks: checkBounds(name, rows),
  };
  mkdirSync(folder, {recursive: true});
  const text = `${JSON.stringify(result, null, 2)}\n`;
  writeFileSync(`${folder}/${name}.json`, text);
  writeFileSync(`${folder}/${name}.svg`, renderBars(rows, part.plot));
  process.stdout.write(renderTable(result));
  return result.checks.every(({holds}) => holds);
}

async function run(names: readonly string[], flags: Flags): Promise<number> {
  const unknown = names.filter(name => PARTS[name] === undefined);
  if (unknown.length > 0) {
    const known = Object.keys(PARTS).join(', ');
    process.stderr.write(
      `error: unknown part ${unknown[0]}; known: ${known}\n`,
    );
    return usageExit;
  }
  const chosen = names.length > 0 ? names : Object.keys(PARTS);
  let allHold = true;
  for (const name of chosen) {
    const part = PARTS[name];
    if (part) allHold = (await runPart(name, part, flags)) && allHold;
  }
  return allHold ? 0 : 1;
}

for (const signal of ['SIGTERM', 'SIGINT'] as const) {
  process.once(signal, () => process.exit(usageExit));
}

const cli = cac('verbenabeam-bench');
cli
  .command('[...parts]', 'Measures parts; without names, all of them')
  .option('--seconds <seconds>', 'Length of one measured window')
  .option('--nodes <list>', 'Numbers of nodes, separated by commas')
  .option('--only <labels>', 'Rows of the call part, for example rate=300')
  .action(async (parts: string[], flags: Flags) => {
    process.exitCode = await run(parts, flags);
  });
cli.help();
cli.parse(process.argv, {run: false});
await cli.runMatchedCommand();
