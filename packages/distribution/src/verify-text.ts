import {Result} from 'true-myth';
import {hashText, MeshError, VERSION_CODES} from '@verbenabeam/core';

/** Checks a full text from a peer. Error: `versions.textMismatch`. @internal */
export function verifyText(content: {
  readonly text: string;
  readonly textHash: string;
}): Result<string, MeshError> {
  if (hashText(content.text) === content.textHash) {
    return Result.ok(content.text);
  }
  const code = VERSION_CODES.textMismatch;
  return Result.err(new MeshError(code, code.text));
}
