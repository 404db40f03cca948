import {writeFileSync} from 'node:fs';
import {ACCESS_CODES, MeshError} from '@verbenabeam/core';
import {emulate, fullPolicy, plotFigures, readDay} from '@verbenabeam/emulator';
import type {Day, Figures, Policy} from '@verbenabeam/emulator';
import {Presets, SingleBar} from 'cli-progress';
import {Result} from 'true-myth';
import type {Command, CommandOutput} from '../command.js';
import {formatShare, table} from '../format.js';

const jsonIndent = 2;
const progressSteps = 100;
const partNames = Object.keys(fullPolicy);

/** `verbenabeam emulate DAY` */
export const emulateCommand: Command = {
  usage: 'emulate <day>',
  text: 'Play a day of load and trouble with the decisions of the product',
  options: [
    {name: '--seed <number>', text: 'Seed; default that of the day'},
    {
      name: '--without <parts>',
      text: `Play it again without these parts (${partNames.join(', ')})`,
    },
    {name: '--figures <file>', text: 'Write the figures as JSON'},
    {name: '--plot <file>', text: 'Write the time line as SVG'},
  ],
  run: ({args, options}) => Promise.resolve(run(args[0] ?? '', options)),
};

function run(
  path: string,
  options: Readonly<Record<string, unknown>>,
): Result<CommandOutput, MeshError> {
  const {seed} = options;
  if (seed !== undefined && !Number.isInteger(seed)) {
    return usage('the seed is not an integer');
  }
  const policies = policiesOf(options['without']);
  if (policies.isErr) return policies.cast();
  const day = readDay(path);
  if (day.isErr) return day.cast();
  const runs = policies.value.map(policy =>
    play(day.value, policy, typeof seed === 'number' ? seed : day.value.seed),
  );
  return write(options, runs).map(() => ({
    data: runs,
    lines: runs.flatMap(render),
  }));
}

/** The whole product, and the product without what the option names. */
function policiesOf(without: unknown): Result<Policy[], MeshError> {
  if (without === undefined) return Result.ok([fullPolicy]);
  const names = String(without).split(',');
  const unknown = names.find(name => !partNames.includes(name));
  if (unknown !== undefined) return usage(`there is no part "${unknown}"`);
  const off = Object.fromEntries(names.map(name => [name, false]));
  return Result.ok([fullPolicy, {...fullPolicy, ...off}]);
}

function play(day: Day, policy: Policy, seed: number): Figures {
  // Written to standard error, and only if that is a terminal.
  const bar = new SingleBar({clearOnComplete: true}, Presets.shades_classic);
  bar.start(progressSteps, 0);
  const figures = emulate(day, {
    policy,
    seed,
    onProgress: done => bar.update(Math.round(done * progressSteps)),
  });
  bar.stop();
  return figures;
}

function write(
  {figures, plot}: Readonly<Record<string, unknown>>,
  runs: readonly Figures[],
): Result<null, MeshError> {
  const [first] = runs;
  try {
    if (typeof figures === 'string') {
      writeFileSync(figures, JSON.stringify(runs, null, jsonIndent));
    }
    if (typeof plot === 'string' && first) {
      writeFileSync(plot, plotFigures(first));
    }
    return Result.ok(null);
  } catch (err) {
    return usage(String(err));
  }
}

function usage<T>(reason: string): Result<T, MeshError> {
  return Result.err(new MeshError(ACCESS_CODES.badRequest, reason));
}

function render({day, seed, policy, routes, windows}: Figures): string[] {
  const off = Object.entries(policy).filter(([, isOn]) => !isOn);
  const without = off.map(([name]) => ` without ${name}`).join(',');
  return [
    `${day}, seed ${seed}${without}`,
    ...table(
      [
        'ROUTE',
        'ASKED',
        'ON TIME',
        'LATE',
        'REFUSED',
        'FAILED',
        'P50 MS',
        'P99 MS',
        'WAIT P99 MS',
      ],
      Object.entries(routes).map(([route, f]) => [
        route,
        ...[f.asked, f.onTime, f.late, f.refused, f.failed].map(String),
        ...[f.p50Ms, f.p99Ms, f.waitP99Ms].map(ms => ms.toFixed(1)),
      ]),
    ),
    '',
    ...table(
      [
        'FROM S',
        'ASKED',
        'ON TIME',
        'LATE',
        'REFUSED',
        'FAILED',
        'SLOTS',
        'PROCESSOR',
      ],
      windows.map(w => [
        ...[w.fromS, w.asked, w.onTime, w.late, w.refused, w.failed].map(
          String,
        ),
        formatShare(w.slots),
        formatShare(w.processor),
      ]),
    ),
    '',
  ];
}
