import type {Result} from 'true-myth';
import type {MeshError} from '@verbenabeam/core';
import type {AdminClient} from './admin-client.js';
import type {CliConfig} from './cli-config.js';

/** What a command prints: data for `--json` and lines for people. */
export interface CommandOutput {
  readonly data: unknown;
  readonly lines: readonly string[];
}

/** What a command gets to work with. */
export interface CommandContext {
  readonly cfg: CliConfig;
  readonly client: AdminClient;
  readonly args: readonly string[];
  readonly options: Readonly<Record<string, unknown>>;
}

/** An option of one command, in cac's notation. */
export interface CommandOption {
  readonly name: string;
  readonly text: string;
}

/** One command of the command line. */
export interface Command {
  /** Name and arguments in cac's notation. */
  readonly usage: string;
  readonly text: string;
  readonly options: readonly CommandOption[];
  run(ctx: CommandContext): Promise<Result<CommandOutput, MeshError>>;
}
