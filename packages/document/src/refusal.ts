import {MeshError} from '@verbenabeam/core';
import type {ResultCode} from '@verbenabeam/core';
import type {SourceLines, ValuePath} from './source-lines.js';

/** Builds the error of a refused document, with the line of the value. @internal */
export function refusal(
  code: ResultCode,
  reason: string,
  path: ValuePath,
  lines: SourceLines,
): MeshError {
  return refusalAt(code, reason, lines.lineOf(path));
}

/** Builds the error of a refused document at a known line. @internal */
export function refusalAt(
  code: ResultCode,
  reason: string,
  line: number,
): MeshError {
  return new MeshError(code, `line ${line}: ${reason}`, {line});
}
