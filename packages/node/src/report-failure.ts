import {errorLine} from '@verbenabeam/core';
import type {MeshError} from '@verbenabeam/core';

/** Exit status for wrong command-line arguments. */
const usageExit = 10;

/**
 * Writes to standard error why a program of a node exits.
 *
 * @param err - An error, or a text about wrong command-line arguments.
 * @returns The exit status.
 * @public
 */
export function reportFailure(err: MeshError | string): number {
  if (typeof err === 'string') {
    process.stderr.write(`error: ${err}\n`);
    return usageExit;
  }
  process.stderr.write(`${errorLine(err)}\n`);
  return err.code.exit;
}
