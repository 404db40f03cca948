import {hashBytes, hashText} from '@verbenabeam/core';
import type {CallHead} from './call-head.js';

/** Bytes of the body that a fingerprint covers. */
const digestLimitBytes = 65_536;

/**
 * Identifies requests that are the same for an upstream. A body that is passed
 * on while it arrives is not covered.
 *
 * @internal
 */
export function fingerprintOf(head: CallHead, body: Buffer | null): string {
  const digest = body ? hashBytes(body.subarray(0, digestLimitBytes)) : '';
  const {service, method, path} = head;
  return hashText(JSON.stringify([service, method, path, digest]));
}
