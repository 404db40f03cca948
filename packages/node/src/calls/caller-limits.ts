import type {IncomingMessage} from 'node:http';
import {CALL_CODES} from '@verbenabeam/core';
import type {ResultCode} from '@verbenabeam/core';
import type {CallerLimits} from '@verbenabeam/document';

/** Bytes of a header line besides name and value: colon, space, CR and LF. */
const lineOverheadBytes = 4;

/** Result code for a request over the configured limits; null if it is within them. */
export function limitExceeded(
  {rawHeaders, headers}: IncomingMessage,
  {maxHeaderBytes, maxBodyBytes}: CallerLimits,
): ResultCode | null {
  let headerBytes = 0;
  for (const item of rawHeaders) headerBytes += item.length;
  headerBytes += (rawHeaders.length / 2) * lineOverheadBytes;
  if (headerBytes > maxHeaderBytes) return CALL_CODES.headersTooLarge;
  const bodyBytes = Number(headers['content-length'] ?? 0);
  return bodyBytes > maxBodyBytes ? CALL_CODES.bodyTooLarge : null;
}
