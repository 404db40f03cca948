/**
 * Child process of the log part: runs hosted nodes and turns their log on and
 * off. Arguments: the settings files. Lines are written to standard output.
 *
 * @packageDocumentation
 */
import {createLogSink} from '@verbenabeam/app-hosted-node/log-sink';
import {setLogSink} from '@verbenabeam/core';
import {HostedNode} from '@verbenabeam/node';
import {
  KvStore,
  operatorFormat,
  platformProtocol,
  readBootSettings,
  upstreamFormat,
} from '@verbenabeam/platform';

/** Asks for the processor time so far, and switches the log. */
export interface LogSwitch {
  readonly log: boolean;
}

/** Processor time and lines since the start, with those beyond the log's limit. */
export interface LogUsage {
  readonly cpuMs: number;
  readonly lines: number;
}

const usPerMs = 1_000;
let lines = 0;
const sink = createLogSink('bench');
const counting = (...line: Parameters<typeof sink.write>) => {
  lines++;
  sink.write(...line);
};

function usage(): LogUsage {
  const {user, system} = process.cpuUsage();
  return {cpuMs: (user + system) / usPerMs, lines};
}

process.on('disconnect', () => process.exit(0));
process.on('message', (message: LogSwitch) => {
  process.send?.(usage());
  // Without a sink the lines are dropped where they are made.
  setLogSink(message.log ? counting : () => undefined);
});

for (const path of process.argv.slice(2)) {
  const settings = readBootSettings(path);
  if (settings.isErr) throw settings.error;
  const node = await HostedNode.start({
    settings: settings.value,
    protocol: platformProtocol({service: () => settings.value.service}),
    operatorFormat,
    upstreamFormat,
    store: new KvStore({address: settings.value.store.address}),
  });
  if (node.isErr) throw node.error;
}
process.send?.(usage());
