import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';

const deployFile = 'deploy/system.toml';

/** The command of the deploy file without its metrics port, after `node`. */
export function deployedCommand(): string[] {
  const text = readFileSync(deployFile, 'utf8');
  const command = /^run = "node (.*?)(?: --metrics-port \d+)?"$/m.exec(text);
  assert.ok(command?.[1], text);
  return command[1].split(' ');
}
