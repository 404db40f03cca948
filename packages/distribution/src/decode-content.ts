import {Result} from 'true-myth';
import {hashText, MeshError, VERSION_CODES} from '@verbenabeam/core';
import {applyDelta} from '@verbenabeam/document';
import type {Snapshot} from '@verbenabeam/document';
import type {ConfigContent} from './messages/config-content.js';

/**
 * Returns the text of a content. Errors: 1114, 1115, 1206.
 *
 * @param active - Base of a delta.
 * @internal
 */
export function decodeContent(
  content: ConfigContent,
  active: Snapshot | null,
): Result<string, MeshError> {
  if ('text' in content) return verifyText(content);
  if (active) return applyDelta(active.document.text, content.delta);
  const details = {base: content.base, active: 0};
  const code = VERSION_CODES.textMismatch;
  return Result.err(new MeshError(code, 'the delta has no base', details));
}

/** A delta or text that does not fit says nothing about the version. @internal */
export function isUnusable(err: MeshError): boolean {
  return err.code.name !== 'versions.cannotCompile' && !isStale(err);
}

function isStale(err: MeshError): boolean {
  const {notNewer, hashMismatch, otherEnvironment} = VERSION_CODES;
  const stale = [notNewer, hashMismatch, otherEnvironment];
  return stale.includes(err.code);
}

/** The node cannot apply the version from any source. @internal */
export function isLasting(err: MeshError): boolean {
  return err.code === VERSION_CODES.cannotCompile;
}

/** Checks a full text from a peer. Error: `versions.textMismatch`. */
function verifyText(content: {
  readonly text: string;
  readonly textHash: string;
}): Result<string, MeshError> {
  if (hashText(content.text) === content.textHash) {
    return Result.ok(content.text);
  }
  const code = VERSION_CODES.textMismatch;
  return Result.err(new MeshError(code, code.text));
}
