import {errorLine} from '@verbenabeam/core';
import type {MeshError} from '@verbenabeam/core';

/** Exit status of a program that is called wrongly. */
const usageExit = 10;

/**
 * Reports on standard error why a node program ends.
 *
 * @param err - A text for a wrong call of the program.
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
