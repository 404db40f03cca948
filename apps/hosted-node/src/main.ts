#!/usr/bin/env node
import {logger, setLogSink} from '@verbenabeam/core';
import {HostedNode, reportFailure} from '@verbenabeam/node';
import {
  KvStore,
  operatorFormat,
  platformProtocol,
  platformSample,
  readBootSettings,
  SETTINGS_VARIABLE,
  upstreamFormat,
} from '@verbenabeam/platform';
import {StoreBudget} from '@verbenabeam/store';
import {cac} from 'cac';
import {createLogSink} from './log-sink.js';
import {ProcessGuard} from './process-guard.js';
import {SettingsFile} from './settings-file.js';

/** Share of the store's rate that the nodes use; operators use it too. */
const storeShare = 0.9;
/** Exit status after too many unexpected errors: an internal error of the program. */
const tooManyErrorsStatus = 70;
/** Nodes that share the rate at least, while a node knows few of them. */
const leastNodes = 12;

/** Set where the program runs as a bundle. */
declare const codeCache: string | undefined;
const log = logger('program');

const cli = cac('verbenabeam-hosted-node');
cli.option('--config <file>', `Settings file; default $${SETTINGS_VARIABLE}`);
cli.option('--metrics-port <port>', 'Port for metrics; default none');
cli.option('--check', 'Check the settings and exit');
cli.option('--print-settings', 'Print the settings in use and exit');
cli.help();
const {options} = cli.parse();
if (options['help'] !== true) process.exitCode = await main();

async function main(): Promise<number> {
  const given: unknown = options['config'];
  const path =
    typeof given === 'string' ? given : process.env[SETTINGS_VARIABLE];
  if (path === undefined)
    return reportFailure(`--config or $${SETTINGS_VARIABLE} is needed`);
  const port: unknown = options['metricsPort'];
  const metricsPort = typeof port === 'number' ? port : null;
  const read = readBootSettings(path, metricsPort);
  if (read.isErr) return reportFailure(read.error);
  if (options['check'] === true) {
    process.stdout.write('settings are valid\n');
    return 0;
  }
  if (options['printSettings'] === true) {
    process.stdout.write(`${JSON.stringify(read.value, null, 2)}\n`);
    return 0;
  }
  return run(new SettingsFile(path, metricsPort, read.value));
}

async function run(file: SettingsFile): Promise<number> {
  const settings = file.current;
  const sink = createLogSink(settings.nodeId);
  setLogSink(sink.write);
  log('Program starts.', {
    codeCache: typeof codeCache === 'undefined' ? 'none' : codeCache,
  });
  const stopped = onceStopSignal();
  let started: HostedNode | null = null;
  file.follow(changed => started?.reload(changed));
  const {address, readsPerSecond} = settings.store;
  let countNodes = () => leastNodes;
  const budget = new StoreBudget({
    role: 'node',
    callsPerSecond: () =>
      (readsPerSecond * storeShare) / Math.max(leastNodes, countNodes()),
  });
  const node = await HostedNode.start({
    settings,
    protocol: platformProtocol({service: () => file.current.service}),
    operatorFormat,
    upstreamFormat,
    sample: platformSample(),
    store: new KvStore({address, budget}),
  });
  if (node.isErr) return reportFailure(node.error);
  started = node.value;
  countNodes = () => node.value.liveNodes;
  if (file.current !== settings) node.value.reload(file.current);
  // An error before this ends the process: without a node it would serve nobody.
  new ProcessGuard({
    onError: () => node.value.recordUnexpectedError(),
    onTooMany: () => {
      node.value.resetUnfinished();
      sink.flush();
      process.exit(tooManyErrorsStatus);
    },
  }).install();
  await stopped;
  await node.value.stop();
  sink.flush();
  process.exit(0);
}

/**
 * Resolves at the first SIGTERM or SIGINT. The handlers stay, since a second
 * signal without a handler would end the process in the middle of its stop.
 */
function onceStopSignal(): Promise<void> {
  return new Promise(resolve => {
    for (const name of ['SIGTERM', 'SIGINT'] as const) {
      process.on(name, () => {
        log('Stop signal received.', {signal: name});
        resolve();
      });
    }
  });
}
