#!/usr/bin/env node
/**
 * Runs the fault soak. The exit status is 1 if a promise was broken, 2 if the
 * soak could not run.
 *
 * @packageDocumentation
 */
import {setLogSink} from '@verbenabeam/core';
import {cac} from 'cac';
import {runSoak} from './soak.js';

const secondsPerMinute = 60;
const brokenExit = 1;
const failedExit = 2;

const cli = cac('soak');
cli.option('--seed <n>', 'Seed of faults and calls', {default: 1});
cli.option('--minutes <m>', 'Time with faults', {default: 1});
cli.option('--nodes <k>', 'Nodes', {default: 12});
cli.option('--rate <r>', 'Calls a second at each node', {default: 8});
cli.option('--stops <n>', 'Only stop nodes, this many times', {default: 0});
cli.option('--drills', 'The store also comes back from copies');
cli.help();
const {options} = cli.parse();
if (options['help'] !== true) process.exit(await main());

async function main(): Promise<number> {
  const numbers = ['seed', 'minutes', 'nodes', 'rate', 'stops'] as const;
  const bad = numbers.find(name => !(Number(options[name]) >= 0));
  if (bad !== undefined) {
    process.stderr.write(`error: --${bad} is not a number\n`);
    return failedExit;
  }
  for (const name of ['SIGINT', 'SIGTERM'] as const) {
    process.once(name, () => process.exit(failedExit));
  }
  // Stand-ins of upstreams log what they do wrong, which the faults tell.
  setLogSink(() => undefined);
  try {
    const {isKept, lines} = await runSoak({
      seed: Number(options['seed']),
      nodes: Number(options['nodes']),
      seconds: Number(options['minutes']) * secondsPerMinute,
      stops: Number(options['stops']),
      drills: options['drills'] === true,
      rate: Number(options['rate']),
    });
    process.stdout.write(`${lines.join('\n')}\n`);
    return isKept ? 0 : brokenExit;
  } catch (err) {
    process.stderr.write(`error: the soak could not run: ${String(err)}\n`);
    return failedExit;
  }
}
