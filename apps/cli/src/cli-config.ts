import {readFileSync} from 'node:fs';
import {parse} from 'smol-toml';
import {Result} from 'true-myth';
import * as z from 'zod';
import {MeshError, SETTINGS_CODES} from '@verbenabeam/core';

const fileSchema = z.strictObject({
  node: z.url().optional(),
  token_file: z.string().optional(),
  authority_file: z.string().optional(),
  environment: z.string().optional(),
  author: z.string().optional(),
});

/** Options that every command accepts, as the command line gave them. */
export interface GlobalOptions {
  /** Path of a TOML file with defaults for the options below. */
  readonly config?: string;
  /** Admin address of a node, `http://ip:port`. */
  readonly node?: string;
  readonly tokenFile?: string;
  /** Certificate of the authority that signed the node's, as PEM. */
  readonly authorityFile?: string;
  readonly env?: string;
  readonly author?: string;
  /** Print JSON in place of text. */
  readonly json?: boolean;
}

/** Where to send commands and on whose behalf. */
export interface CliConfig {
  readonly node: string;
  readonly token: string;
  /** PEM text; null trusts the authorities of Node.js. */
  readonly authority: string | null;
  readonly environment: string;
  readonly author: string;
  readonly json: boolean;
}

const defaultNode = 'http://127.0.0.1:9090';
const defaultEnvironment = 'production';

/** Merges options, the settings file, the environment and the defaults. */
export function loadConfig(
  options: GlobalOptions,
  env: NodeJS.ProcessEnv,
): Result<CliConfig, MeshError> {
  try {
    const file = readConfigFile(options.config);
    const tokenFile = options.tokenFile ?? file.token_file;
    const authorityFile = options.authorityFile ?? file.authority_file;
    return Result.ok({
      node: options.node ?? file.node ?? defaultNode,
      token: readToken(tokenFile, env),
      authority: authorityFile ? readFileSync(authorityFile, 'utf8') : null,
      environment: options.env ?? file.environment ?? defaultEnvironment,
      author: options.author ?? file.author ?? env['USER'] ?? 'unknown',
      json: options.json ?? false,
    });
  } catch (err) {
    const reason = err instanceof Error ? err.message : String(err);
    return Result.err(
      new MeshError(SETTINGS_CODES.unreadable, `settings: ${reason}`),
    );
  }
}

function readConfigFile(path: string | undefined): z.infer<typeof fileSchema> {
  if (path === undefined) return {};
  return fileSchema.parse(parse(readFileSync(path, 'utf8')));
}

function readToken(path: string | undefined, env: NodeJS.ProcessEnv): string {
  if (path !== undefined) return readFileSync(path, 'utf8').trim();
  return env['VERBENABEAM_TOKEN'] ?? '';
}
