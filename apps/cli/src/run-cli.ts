import {cac} from 'cac';
import type {Result} from 'true-myth';
import {versionMetaSchema} from '@verbenabeam/admin-api';
import {ACCESS_CODES, errorLine, MeshError} from '@verbenabeam/core';
import {AdminClient} from './admin-client.js';
import {loadConfig} from './cli-config.js';
import type {GlobalOptions} from './cli-config.js';
import type {Command, CommandOutput} from './command.js';
import {ALL_COMMANDS} from './commands/all-commands.js';
import {formatTime} from './format.js';

const jsonIndent = 2;

/** Where the command line writes, and the environment it reads. */
export interface CliStreams {
  readonly out: (line: string) => void;
  readonly err: (line: string) => void;
  readonly env: NodeJS.ProcessEnv;
}

/**
 * Runs one command.
 *
 * @param argv - Arguments as in `process.argv`.
 * @returns The exit status, from the result-code table.
 */
export async function runCli(
  argv: readonly string[],
  streams: CliStreams,
): Promise<number> {
  let exit: Promise<number> | undefined;
  const cli = cac('verbenabeam');
  cli.option('--config <file>', 'TOML file with defaults for these options');
  cli.option('--node <url>', 'Admin address of a node');
  cli.option('--token-file <file>', 'File with the operator token');
  cli.option('--authority-file <file>', 'Authority of an HTTPS node, as PEM');
  cli.option('--env <name>', 'Environment (production)');
  cli.option('--author <name>', 'Name kept with a new version');
  cli.option('--json', 'Print JSON');
  for (const command of ALL_COMMANDS) {
    const definition = cli.command(command.usage, command.text);
    for (const {name, text} of command.options) definition.option(name, text);
    definition.action((...values: unknown[]) => {
      exit = runCommand(command, values, streams);
    });
  }
  cli.help();
  try {
    cli.parse([...argv]);
  } catch (err) {
    return report(usageError(err), false, streams);
  }
  if (exit) return exit;
  if (cli.options['help'] === true) return 0;
  const given = cli.args[0] ?? '';
  return report(usageError(`unknown command "${given}"`), false, streams);
}

async function runCommand(
  command: Command,
  values: readonly unknown[],
  streams: CliStreams,
): Promise<number> {
  const options = values.at(-1) as GlobalOptions & Record<string, unknown>;
  const args = values.slice(0, -1).flat().map(String);
  const json = options.json === true;
  const cfg = loadConfig(options, streams.env);
  if (cfg.isErr) return report(cfg.error, json, streams);
  const client = new AdminClient(cfg.value);
  const result: Result<CommandOutput, MeshError> = await command.run({
    cfg: cfg.value,
    client,
    args,
    options,
  });
  if (result.isErr) return report(result.error, json, streams);
  const {data, lines} = result.value;
  if (json) streams.out(JSON.stringify(data, null, jsonIndent));
  else for (const line of lines) streams.out(line);
  return 0;
}

function report(err: MeshError, json: boolean, streams: CliStreams): number {
  if (json) {
    streams.err(JSON.stringify(err, null, jsonIndent));
    return err.code.exit;
  }
  streams.err(errorLine(err));
  for (const line of describeDetails(err)) streams.err(line);
  return err.code.exit;
}

/** Shows the winner of a lost race and what differs. */
function describeDetails(err: MeshError): string[] {
  return Object.entries(err.details).flatMap(([key, value]) =>
    Array.isArray(value)
      ? [`${key}:`, ...value.map(item => `  ${String(item)}`)]
      : [`${key}: ${describeDetail(value)}`],
  );
}

function describeDetail(value: unknown): string {
  const meta = versionMetaSchema.safeParse(value);
  if (!meta.success) return JSON.stringify(value);
  const {version, author, acceptedAt} = meta.data;
  return `version ${version} by ${author} at ${formatTime(acceptedAt)}`;
}

function usageError(err: unknown): MeshError {
  const reason = err instanceof Error ? err.message : String(err);
  return new MeshError(ACCESS_CODES.badRequest, reason);
}
