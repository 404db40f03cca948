import type {IncomingMessage} from 'node:http';
import {CALL_CODES} from '@verbenabeam/core';
import type {ResultCode} from '@verbenabeam/core';
import type {CallerLimits} from '@verbenabeam/document';

/** Bytes of a header line beside its name and value: colon, space, line end. */
const lineBytes = 4;

/** Why a request exceeds the limits of the configuration; null if it does not. */
export function limitExceeded(
  {rawHeaders, headers}: IncomingMessage,
  {maxHeaderBytes, maxBodyBytes}: CallerLimits,
): ResultCode | null {
  let headerBytes = 0;
  for (const item of rawHeaders) headerBytes += item.length;
  headerBytes += (rawHeaders.length / 2) * lineBytes;
  if (headerBytes > maxHeaderBytes) return CALL_CODES.headersTooLarge;
  const bodyBytes = Number(headers['content-length'] ?? 0);
  return bodyBytes > maxBodyBytes ? CALL_CODES.bodyTooLarge : null;
}
