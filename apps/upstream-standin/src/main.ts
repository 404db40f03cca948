import {cac} from 'cac';
import {FAULT_KINDS, FAULT_STARTS} from './faults.js';
import type {Fault, FaultKind, FaultStart} from './faults.js';
import {startUpstream} from './upstream-standin.js';

/** Exit status after a request that crashes the process. */
const crashExit = 70;
const usageExit = 2;

/** Options of the command line; cac converts numbers. */
interface Flags {
  readonly service: string;
  readonly version: string;
  readonly host: string;
  readonly port: number;
  readonly slots: number;
  readonly queueLimit: number;
  readonly coldStartMs: number;
  readonly serviceMs: number;
  readonly misleading: boolean;
  readonly node?: string;
  readonly runLog?: string;
  readonly lingerMs: number;
  readonly seed: number;
  readonly fault?: string | string[];
}

/** Reads `kind:start[:name=number or path,...]`. */
function parseFault(text: string): Fault {
  const [kind, start, settings = ''] = text.split(':');
  const known =
    Object.values<string>(FAULT_KINDS).includes(kind ?? '') &&
    Object.values<string>(FAULT_STARTS).includes(start ?? '');
  if (!known) throw new Error(`fault "${text}" has an unknown kind or start`);
  const entries = settings
    .split(',')
    .filter(Boolean)
    .map(pair => pair.split('='))
    .map(([name, value]) => [
      name,
      name === 'pathPrefix' ? value : Number(value),
    ]);
  return {
    ...(Object.fromEntries(entries) as Partial<Fault>),
    kind: kind as FaultKind,
    start: start as FaultStart,
  };
}

async function run(flags: Flags): Promise<void> {
  const faults = [flags.fault ?? []].flat().map(parseFault);
  const upstream = await startUpstream({
    ...flags,
    faults,
    onCrash: () => process.exit(crashExit),
  });
  process.stdout.write(`${JSON.stringify({address: upstream.address})}\n`);
  process.once('SIGTERM', () => {
    void upstream.stop().then(() => process.exit(0));
  });
}

const cli = cac('upstream-standin');
cli
  .command('', 'Runs an HTTP upstream for tests and the demo')
  .option('--service <name>', 'Name of the service', {default: 'service'})
  .option('--version <name>', 'Version of the upstream', {default: 'v1'})
  .option('--host <ip>', 'Listen address', {default: '127.0.0.1'})
  .option('--port <port>', 'Listen port; 0 chooses one', {default: 0})
  .option('--slots <count>', 'Requests that run at once', {default: 12})
  .option('--queue-limit <count>', 'Requests that wait', {default: 12})
  .option('--cold-start-ms <ms>', 'Time before it is ready', {default: 0})
  .option('--service-ms <ms>', 'Service time', {default: 0})
  .option('--misleading', 'Health and load show a healthy, idle upstream', {
    default: false,
  })
  .option('--node <url>', 'Node to which it announces itself')
  .option('--run-log <file>', 'File that gets a line per execution')
  .option('--linger-ms <ms>', 'Time it takes requests after leaving', {
    default: 0,
  })
  .option('--seed <seed>', 'Seed of fault shares', {default: 1})
  .option(
    '--fault <fault>',
    'kind:start[:name=value,...], for example error:later:afterMs=5000',
  )
  .action((flags: Flags) => run(flags));
cli.help();

try {
  cli.parse(process.argv, {run: false});
  await cli.runMatchedCommand();
} catch (err) {
  process.stderr.write(`${String(err)}\n`);
  process.exitCode = usageExit;
}
