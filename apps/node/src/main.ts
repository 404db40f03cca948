#!/usr/bin/env node
import {cac} from 'cac';
import {MeshNode, loadSettings, reportFailure} from '@verbenabeam/node';

const cli = cac('verbenabeam-node');
cli.option('--config <file>', 'Settings file (TOML)');
cli.option('--check', 'Check the settings and exit');
cli.help();
const {options} = cli.parse();
if (options['help'] !== true) process.exitCode = await main();

async function main(): Promise<number> {
  const path: unknown = options['config'];
  if (typeof path !== 'string')
    return reportFailure('--config <file> is required');
  const settings = loadSettings(path);
  if (settings.isErr) return reportFailure(settings.error);
  if (options['check'] === true) {
    process.stdout.write('settings are valid\n');
    return 0;
  }
  const stop = new AbortController();
  // A second signal without a handler would end the process during its stop.
  process.on('SIGTERM', () => stop.abort());
  process.on('SIGINT', () => stop.abort());
  const node = await MeshNode.start(settings.value);
  if (node.isErr) return reportFailure(node.error);
  process.stdout.write(`${JSON.stringify(node.value.addresses())}\n`);
  await aborted(stop.signal);
  await node.value.stop();
  return 0;
}

function aborted(signal: AbortSignal): Promise<void> {
  return new Promise(resolve => {
    signal.addEventListener('abort', () => resolve(), {once: true});
  });
}
