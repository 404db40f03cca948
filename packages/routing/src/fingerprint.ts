import {hashBytes, hashText} from '@verbenabeam/core';

/** Number of leading body bytes that the fingerprint covers. @public */
export const FINGERPRINT_BODY_BYTES = 64 * 1024;

/** Parts of a request that identify its repetitions. @public */
export interface FingerprintParts {
  readonly service: string;
  readonly method: string;
  /** Path with query string, as the upstream receives it. */
  readonly path: string;
  /** Start of the body; bytes after the first 64 KB are ignored. */
  readonly body: Uint8Array;
}

/** Fingerprint of a request as 16 hexadecimal digits. @public */
export function fingerprintOf(parts: FingerprintParts): string {
  const digest = hashBytes(parts.body.subarray(0, FINGERPRINT_BODY_BYTES));
  return hashText([parts.service, parts.method, parts.path, digest].join('\n'));
}
